#!/bin/sh
# Starts one instance with the sample site and two stand-in endpoints, sends a
# streamed chat, prints what came back, and waits to be interrupted.
build=$1
dir=$(mktemp -d)
end() {
    kill $instance $engine $service 2>/dev/null
    wait 2>/dev/null
    rm -rf "$dir"
}
trap end EXIT
trap 'exit 0' INT TERM
"$build/carobloomd/carobloomd" --settings samples/settings.jsonc &
instance=$!
for i in $(seq 50); do
    curl -sf http://127.0.0.1:8081/livez >/dev/null && break
    sleep 0.1
done
"$build/standin/carobloom-standin" --platform 127.0.0.1:8081 \
    --serves draft-7b >"$dir/engine" &
engine=$!
"$build/standin/carobloom-standin" --platform 127.0.0.1:8081 \
    --serves tagging --kind service >"$dir/service" &
service=$!
echo "== submitting samples/site.jsonc as the console does"
curl -sf -H 'Authorization: Bearer change-me' -H 'Carobloom-Change: sample' \
    --data-binary @samples/site.jsonc \
    http://127.0.0.1:8082/console/submit || exit 1
echo
sleep 1
echo "== a streamed chat"
curl -sN -D "$dir/head" -o "$dir/body" \
    -w 'first byte after %{time_starttransfer} s, whole after %{time_total} s\n' \
    -H 'Authorization: Bearer workshop-key' \
    -d '{"model":"draft-7b","stream":true,"max_tokens":12,
         "messages":[{"role":"user","content":"A belt, please"}]}' \
    http://127.0.0.1:8080/v1/chat/completions || exit 1
grep -i '^carobloom-' "$dir/head" | tr -d '\r'
printf 'answer: '
sed -n 's/.*"content":"\([^"]*\)".*/\1/p' "$dir/body" | tr -d '\n'
echo
tail -n 2 "$dir/body" | head -n 1
echo "== running; press Ctrl-C to end (console: http://127.0.0.1:8082/console)"
wait $instance
