// The console's forms. They produce one document, which is submitted whole
// with the version it was edited from and a change id that stays the same
// when it is sent again.
'use strict';

const FIELDS = {
  classes: {
    name: 'text', tier: 'int', protect: 'bool', repeatable: 'bool',
    resume: 'bool', first_token_ms: 'int', between_tokens_ms: 'int',
    deadline_ms: 'int', max_wait_ms: 'int', silence_ms: 'int',
    least_share: 'number', weight: 'number', queue_limit: 'int',
    typical_tokens: 'int', attempts: 'int', keep_s: 'int', pools: 'list',
  },
  teams: { name: 'text', key_sha256: 'list', weight: 'number',
    requests_per_s: 'number', in_flight: 'int' },
  routes: { path: 'text', model: 'text', team: 'text', header: 'text',
    value: 'text', class: 'text' },
  services: { name: 'text', class: 'text' },
  limits: { body_bytes: 'int', answer_bytes: 'int', retry_ratio: 'number' },
};

let token = '';
let base = 0;
let site = {};
let part = 'classes';
let faults = [];
let change = newChange();

const $ = (id) => document.getElementById(id);

function newChange() {
  const bytes = crypto.getRandomValues(new Uint8Array(12));
  return 'console-' + Array.from(bytes, (b) => b.toString(16).padStart(2, '0')).join('');
}

function element(name, properties, ...children) {
  const made = Object.assign(document.createElement(name), properties);
  made.append(...children);
  return made;
}

// Comments are for people who write the file by hand; the forms work on the
// plain document.
function stripComments(text) {
  let out = '';
  for (let i = 0; i < text.length; i++) {
    if (text[i] === '"') {
      const start = i++;
      while (i < text.length && text[i] !== '"') i += text[i] === '\\' ? 2 : 1;
      out += text.slice(start, i + 1);
    } else if (text.startsWith('//', i)) {
      while (i < text.length && text[i] !== '\n') i++;
      out += '\n';
    } else if (text.startsWith('/*', i)) {
      const end = text.indexOf('*/', i + 2);
      i = end < 0 ? text.length : end + 1;
    } else {
      out += text[i];
    }
  }
  return out;
}

async function ask(method, path, headers, body) {
  const answer = await fetch(path, { method, headers, body });
  let json = {};
  try { json = await answer.json(); } catch (e) { json = {}; }
  return { status: answer.status, json };
}

function faultsAt(path) {
  return faults.filter((f) => f.path === path);
}

function show(good, ...children) {
  $('message').className = good ? 'good' : '';
  $('message').replaceChildren(...children);
  if (children.length) $('message').focus();
}

function valueOf(input, type) {
  if (type === 'bool') return input.checked;
  if (type === 'list') return input.value.split(',').map((s) => s.trim()).filter(Boolean);
  if (input.value === '') return undefined;
  if (type === 'text') return input.value;
  const number = Number(input.value);
  return Number.isNaN(number) ? input.value : number;
}

function fieldFor(item, path, key, type) {
  const input = element('input', { id: path + '.' + key, type: type === 'bool' ? 'checkbox' : 'text' });
  const value = item[key];
  if (type === 'bool') input.checked = value === undefined ? key === 'repeatable' : value;
  else if (value !== undefined) input.value = Array.isArray(value) ? value.join(', ') : value;
  input.addEventListener('change', () => {
    const now = valueOf(input, type);
    if (now === undefined || (Array.isArray(now) && !now.length)) delete item[key];
    else item[key] = now;
  });
  const label = element('label', {}, key.replaceAll('_', ' '), input);
  const found = faultsAt(path + '.' + key);
  if (found.length) {
    input.setAttribute('aria-invalid', 'true');
    input.setAttribute('aria-describedby', path + '.' + key + '.fault');
    label.append(element('p', { className: 'fault', id: path + '.' + key + '.fault',
      textContent: found.map((f) => f.text).join('; ') }));
  }
  return label;
}

function itemForm(item, path, title, remove) {
  const box = element('fieldset', {}, element('legend', { textContent: title }));
  for (const [key, type] of Object.entries(FIELDS[part])) box.append(fieldFor(item, path, key, type));
  for (const f of faultsAt(path)) box.append(element('p', { className: 'fault', textContent: f.text }));
  if (remove) {
    const button = element('button', { type: 'button', textContent: 'Remove ' + title });
    button.addEventListener('click', remove);
    box.append(button);
  }
  return box;
}

function drawTabs() {
  $('tabs').replaceChildren(...Object.keys(FIELDS).concat('history').map((name) => {
    const marked = faults.some((f) => f.path.startsWith(name));
    const button = element('button', { type: 'button', textContent: name + (marked ? ' (faults)' : '') });
    button.setAttribute('aria-current', name === part);
    button.addEventListener('click', () => { part = name; draw(); });
    return button;
  }));
}

function drawForms() {
  const forms = [];
  if (part === 'limits') {
    site.limits = site.limits || {};
    forms.push(itemForm(site.limits, 'limits', 'limits', null));
  } else {
    const list = site[part] = site[part] || [];
    list.forEach((item, i) => forms.push(itemForm(item, part + '.' + i,
      item.name || item.class || part + ' ' + (i + 1),
      () => { list.splice(i, 1); draw(); })));
    for (const f of faultsAt(part)) forms.push(element('p', { className: 'fault', textContent: f.text }));
    const add = element('button', { type: 'button', textContent: 'Add to ' + part });
    add.addEventListener('click', () => { list.push({}); draw(); });
    forms.push(add);
  }
  $('forms').replaceChildren(...forms);
}

async function drawHistory() {
  const { status, json } = await ask('GET', '/console/history', {});
  if (status !== 200) {
    $('behind').textContent = json.text || 'No quorum answers now.';
    return;
  }
  $('behind').textContent = json.behind.length
    ? 'Behind: ' + json.behind.map((b) => b.instance + ' at ' + b.version).join(', ')
    : 'In force at every live instance.';
  $('changes').replaceChildren(...json.changes.map((c) => element('tr', {},
    ...[c.version, new Date(c.time_ms).toISOString(), c.author, c.note, c.change]
      .map((t) => element('td', { textContent: t })))));
}

function draw() {
  drawTabs();
  const history = part === 'history';
  $('history').hidden = !history;
  $('forms').hidden = history;
  $('submit').hidden = history;
  if (history) drawHistory();
  else drawForms();
}

async function load() {
  const { status, json } = await ask('GET', '/console/document', {});
  if (status !== 200) return;
  base = json.version;
  site = JSON.parse(stripComments(json.text));
  faults = [];
  change = newChange();
  $('version').textContent = 'editing from version ' + base;
  draw();
}

// A conflict shows both sides. The way on: keep the own edits and submit them
// on the newer version, or take that version and edit again.
function showConflict(json) {
  const onward = element('button', { type: 'button', textContent: 'Submit mine over version ' + json.version });
  onward.addEventListener('click', () => { base = json.version; change = newChange(); send(); });
  const theirs = element('button', { type: 'button', textContent: 'Take version ' + json.version + ' and edit again' });
  theirs.addEventListener('click', () => { show(true); load(); });
  show(false,
    element('p', { textContent: 'Version ' + json.version + ' was accepted while you edited from version ' + json.base + '.' }),
    element('h3', { textContent: 'Changed by others' }), element('pre', { textContent: json.theirs || '(not known any more)' }),
    element('h3', { textContent: 'Changed by you' }), element('pre', { textContent: json.yours }), onward, ' ', theirs);
}

function showFaults(json) {
  faults = json.faults || [];
  const first = faults.find((f) => FIELDS[f.path.split('.')[0]]);
  if (first) part = first.path.split('.')[0];
  draw();
  show(false, element('p', { textContent: faults.length + ' faults; nothing was changed.' }),
    ...faults.slice(0, 10).map((f) => element('p', { className: 'fault', textContent: (f.path || 'document') + ': ' + f.text })));
}

async function send() {
  $('send').disabled = true;
  show(true, element('p', { textContent: 'Submitting…' }));
  try {
    const { status, json } = await ask('POST', '/console/submit', {
      'Carobloom-Token': token, 'Carobloom-Change': change,
      'Carobloom-Base': String(base), 'Carobloom-Note': $('note').value,
    }, JSON.stringify(site, null, 1));
    if (status === 200) {
      const version = json.version;
      await load();
      base = Math.max(base, version);
      show(true, element('p', { textContent: 'Version ' + version + ' is accepted.' }));
      $('note').value = '';
    } else if (status === 409) showConflict(json);
    else if (status === 400 && json.faults) showFaults(json);
    else show(false, element('p', { textContent: (json.text || 'The answer was lost.') + ' Submit again: the same change is applied at most once.' }));
  } catch (e) {
    show(false, element('p', { textContent: 'The answer was lost. Submit again: the same change is applied at most once.' }));
  }
  $('send').disabled = false;
}

function enter(json) {
  token = json.token;
  $('who').textContent = 'signed in as ' + json.name;
  $('login').hidden = true;
  $('editor').hidden = false;
  load();
}

$('login').addEventListener('submit', async (event) => {
  event.preventDefault();
  const { status, json } = await ask('POST', '/console/login', { Authorization: 'Bearer ' + $('key').value });
  if (status === 200) enter(json);
  else $('login-error').textContent = json.text || 'That did not work.';
});
$('submit').addEventListener('submit', (event) => { event.preventDefault(); send(); });
$('forms').addEventListener('submit', (event) => event.preventDefault());
$('reload').addEventListener('click', () => { show(true); load(); });
ask('GET', '/console/session', {}).then(({ status, json }) => { if (status === 200) enter(json); });
