# bash completion for carobloom
_carobloom()
{
    local commands="capacity check document drain dump endpoints history order status usage"
    local options="--address --key --tls --json --help --version"
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}
    case $previous in
    check) COMPREPLY=($(compgen -f -- "$current")) ;;
    document) COMPREPLY=($(compgen -W "status" -- "$current")) ;;
    *) COMPREPLY=($(compgen -W "$commands $options" -- "$current")) ;;
    esac
}
complete -F _carobloom carobloom
