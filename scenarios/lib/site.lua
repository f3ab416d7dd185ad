-- Functions for the scenario scripts. Each script tests one site of real
-- processes on loopback.
--
-- A site has a platform, workers and entry instances. Entry instances reach the
-- platform and the workers through TCP relays ("links"), which can be cut or
-- slowed down. Last part of the addresses 127.3.<scenario>.N: platform 10, entry
-- instances 20+n, workers 60+n, links to workers 120+n, links from entry
-- instance n to the platform 160+n.

local credential = "scenario-operator-credential"
local entry_port, peer_port, worker_port, platform_port = 18470, 18471, 18480, 18400

-- Time limit in seconds for all instances to apply a published configuration.
CONFIG_SECONDS = 7
-- Time limit in seconds for the takeover of workers and the start of a site.
SETTLE_SECONDS = 30

site = { entries = {}, workers = {}, calls = {} }

function encode(value)
  local kind = type(value)
  if kind == "string" then
    return '"' .. value:gsub('[%c"\\]', function(c)
      return string.format("\\u%04x", c:byte())
    end) .. '"'
  elseif kind == "table" then
    local parts = {}
    if #value > 0 then
      for _, it in ipairs(value) do parts[#parts + 1] = encode(it) end
      return "[" .. table.concat(parts, ",") .. "]"
    end
    for name, it in pairs(value) do
      parts[#parts + 1] = encode(name) .. ":" .. encode(it)
    end
    return "{" .. table.concat(parts, ",") .. "}"
  end
  return tostring(value)
end

local function address(n)
  return native.network .. n
end

function report(text)
  native.report(text)
end

function sleep(seconds)
  native.sleep(math.floor(seconds * 1000))
end

function now()
  return native.now_ms() / 1000
end

function expect(condition, text)
  if not condition then error("expected: " .. text, 2) end
end

-- Polls `condition` until it is true and returns its result; fails after
-- `seconds`.
function wait_until(seconds, text, condition)
  local deadline = now() + seconds
  repeat
    local result = condition()
    if result then return result end
    native.sleep(50)
  until now() >= deadline
  error("timed out after " .. seconds .. " s, expected: " .. text, 2)
end

-- Sends one HTTP request to an entry instance. Returns {status, body, text}.
-- Without a complete response, `status` is nil and `error` is the error kind.
function call(method, entry, target, body, seconds, token)
  local status, text = native.http(method, entry.address, entry_port, target,
    body or "", (seconds or 10) * 1000, token)
  return answer_of(status, text)
end

function answer_of(status, text)
  if not status then return { error = text, body = {}, text = "" } end
  return { status = status, text = text, body = native.parse_json(text) or {} }
end

local function admin_call(host, port, body)
  local status, text = native.http(body and "POST" or "GET", host, port, "/admin",
    body and encode(body) or "", 10000)
  expect(status == 200, "/admin of " .. host .. " answers 200, not " ..
    tostring(status) .. " " .. text)
  return native.parse_json(text)
end

-- Injects `faults` into a worker. Without `faults`, returns its counters and
-- executions. `platform` does the same for the platform.
function admin(worker, faults)
  return admin_call(worker.address, worker_port, faults)
end

function platform(faults)
  return admin_call(address(10), platform_port, faults)
end

local function worker_row(worker)
  return { name = worker.name, role = "worker", state = "live", domain = worker.domain,
    rack = "r" .. worker.number, address = worker.link, port = worker_port,
    capacity = { milli_processors = 16000, memory_bytes = 64424509440, accelerators = 0 },
    slots = 8, connections = 64 }
end

function start_worker(worker)
  native.spawn(worker.name, { "standin_worker", "--listen", worker.address, "--port",
    tostring(worker_port), "--name", worker.name, "--domain", worker.domain, "--rack",
    "r" .. worker.number })
end

function start_entry(entry)
  native.spawn(entry.name, { "skylarkhill", "entry", "--settings", entry.settings })
end

local function write_settings(entry)
  return native.write_file(entry.name .. ".toml", string.format([[
[instance]
name = "%s"
domain = "%s"
region = "test"
[listen]
address = "%s"
port = %d
peer_port = %d
threads = 128
[platform]
address = "%s"
port = %d
[requests]
standing_limit = 32
[drain]
balancer_notice_ms = 500
[operator]
credential = "%s"
]], entry.name, entry.domain, entry.address, entry_port, peer_port, entry.link,
    platform_port, credential))
end

-- Starts a site, publishes a configuration and waits until every entry instance
-- serves requests and every worker has a holder. `entries` and `workers` give
-- the failure domain, 1 to 3, of each entry instance and worker.
function start(entries, workers)
  local domains = { "montevideo-a", "colonia-b", "maldonado-c" }
  local rows = {}
  for n, domain in ipairs(entries) do
    local entry = { number = n, name = "entry-" .. n, domain = domains[domain],
      address = address(20 + n), link = address(160 + n) }
    entry.settings = write_settings(entry)
    site.entries[n] = entry
    rows[#rows + 1] = { name = entry.name, role = "entry", state = "live",
      domain = entry.domain, rack = "e" .. n, address = entry.address,
      port = entry_port, peer_port = peer_port }
    native.relay(entry.name .. "/platform", entry.link, platform_port, address(10),
      platform_port)
  end
  for n, domain in ipairs(workers) do
    local worker = { number = n, name = "worker-" .. n, domain = domains[domain],
      address = address(60 + n), link = address(120 + n) }
    site.workers[n] = worker
    rows[#rows + 1] = worker_row(worker)
    native.relay(worker.name, worker.link, worker_port, worker.address, worker_port)
    start_worker(worker)
  end
  local list = native.write_file("instances.json", encode(rows))
  native.spawn("platform", { "standin_platform", "--listen", address(10), "--port",
    tostring(platform_port), "--instances", list })
  for _, it in ipairs(site.entries) do start_entry(it) end
  for _, it in ipairs(site.entries) do wait_ready(it) end
  local answer = publish(site.entries[1], -1)
  expect(answer.status == 200, "the first publish succeeds: " .. answer.text)
  for _, it in ipairs(site.entries) do wait_serving(it) end
  wait_held()
end

function wait_ready(entry)
  wait_until(SETTLE_SECONDS, entry.name .. " is ready", function()
    expect(not native.wait_exit(entry.name, 0), entry.name .. " runs; see its log")
    return call("GET", entry, "/readyz", nil, 2).status == 200
  end)
end

function wait_serving(entry)
  wait_until(SETTLE_SECONDS, entry.name .. " serves requests", function()
    return request(entry, { deadline_ms = 1000 }).body.outcome == "completed"
  end)
end

-- Returns the holder of each worker that reports exactly one holder lease, and
-- the number of these workers.
function holders()
  local found, count = {}, 0
  for _, it in ipairs(site.workers) do
    local status, text = native.http("POST", it.address, worker_port, "/poll", "{}", 5000)
    local poll = status == 200 and native.parse_json(text) or {}
    local leases = poll.holders or {}
    if #leases == 1 then
      found[it.name] = leases[1].holder or leases[1].instance
      count = count + 1
    end
  end
  return found, count
end

function wait_held()
  return wait_until(SETTLE_SECONDS, "every worker has one holder", function()
    local found, count = holders()
    return count == #site.workers and found
  end)
end

function find_entry(name)
  for _, it in ipairs(site.entries) do
    if it.name == name then return it end
  end
  error("no entry instance " .. tostring(name))
end

function signal(process, name) native.signal(process.name, name) end
function kill(process) native.signal(process.name, "KILL") end
function freeze(process) native.signal(process.name, "STOP") end
function thaw(process) native.signal(process.name, "CONT") end

-- Stops a process by SIGTERM; fails unless it exits with 0.
function stop(process)
  native.signal(process.name, "TERM")
  local code = native.wait_exit(process.name, 40000)
  expect(code == 0, process.name .. " exits with 0, not " .. tostring(code))
end

-- Links are named "entry-N/platform" and "worker-N".
function cut(link) native.set_link(link, "cut", 0) end
function silence(link) native.set_link(link, "silent", 0) end
function delay(link, ms) native.set_link(link, "open", ms) end
function heal(link) native.set_link(link, "open", 0) end

local function read_set()
  local file <close> = assert(io.open(native.source_directory .. "/examples/direccion.json"))
  return file:read("a")
end

-- Returns the operator credential.
function operator() return credential end

function publish_body(base, publisher, importance)
  local set = read_set()
  if importance then
    set = set:gsub('"importance": 90', '"importance": ' .. importance)
  end
  return '{"base_version":' .. base .. ',"publisher":"' .. (publisher or "scenario") ..
    '","set":' .. set .. "}"
end

function publish(entry, base, publisher, importance)
  return call("POST", entry, "/v1/config", publish_body(base, publisher, importance), 15,
    credential)
end

function version(entry)
  return call("GET", entry, "/v1/config", nil, 5).body.version
end

local function request_body(options)
  local fields = { service = options.service or
    (options.key and "inventory-reconciliation" or "twist-lot-confirmation"),
    body = encode({ work_ms = options.work_ms or 1 }),
    deadline_ms = options.deadline_ms or 2000, key = options.key,
    first_send = options.first_send }
  return encode(fields), fields.deadline_ms / 1000 + 10
end

-- Sends a request to a service, by default to a non-idempotent one if a key is
-- given and to an idempotent one otherwise.
function request(entry, options)
  local body, seconds = request_body(options or {})
  return call("POST", entry, "/v1/requests", body, seconds)
end

-- Like `request`, but runs in the background; `await` returns the answer.
function start_request(entry, options)
  local body, seconds = request_body(options or {})
  return native.http_start("POST", entry.address, entry_port, "/v1/requests", body,
    seconds * 1000)
end

function await(call_id)
  return answer_of(native.http_wait(call_id))
end

local function task_body(options)
  return encode({ key = options.key, team = "orders", class = "tar-and-strand",
    caller = options.caller or "scenario", payload = encode({ run_ms = options.run_ms or 500,
      result = "done", fail = options.fail }),
    milli_processors = options.milli_processors or 1000,
    memory_bytes = options.memory_bytes or 1073741824,
    run_seconds = options.run_seconds or 10 })
end

-- Submits a task. Its id is "orders.<key>".
function submit(entry, options)
  return call("POST", entry, "/v1/tasks", task_body(options), 15)
end

function start_submit(entry, options)
  return native.http_start("POST", entry.address, entry_port, "/v1/tasks",
    task_body(options), 15000)
end

function status(entry, task)
  return call("GET", entry, "/v1/tasks/" .. task, nil, 5).body
end

function start_cancel(entry, task)
  return native.http_start("DELETE", entry.address, entry_port,
    "/v1/tasks/" .. task .. "?caller=scenario", "", 20000)
end

function cancel(entry, task)
  return await(start_cancel(entry, task))
end

function wait_task(entry, task, seconds, state)
  return wait_until(seconds, task .. " is " .. (state or "completed") .. " at " ..
    entry.name, function()
    local found = status(entry, task)
    return found.state == (state or "completed") and found
  end)
end

-- All task executions on all workers, by task.
function executions()
  local by_task = {}
  for _, worker in ipairs(site.workers) do
    for _, it in ipairs(admin(worker).executions) do
      it.worker = worker.name
      by_task[it.task] = by_task[it.task] or {}
      table.insert(by_task[it.task], it)
    end
  end
  return by_task
end

-- Fails if an attempt started twice or two attempts of one task overlapped, or
-- if a worker cannot be reached. Returns the executions.
function expect_no_double_run()
  local by_task = executions()
  for task, list in pairs(by_task) do
    table.sort(list, function(a, b) return a.started_at < b.started_at end)
    local seen, last_end = {}, 0
    for _, it in ipairs(list) do
      local where = task .. " attempt " .. it.attempt .. " on " .. it.worker
      expect(not seen[it.attempt], where .. " starts once")
      seen[it.attempt] = true
      expect(last_end <= it.started_at, where .. " starts after the end of the last attempt")
      last_end = it.ended_at < 0 and math.huge or it.ended_at
    end
  end
  return by_task
end

-- Returns how often the request with this key ran, on all workers together.
function runs_of(key)
  local runs = 0
  for _, worker in ipairs(site.workers) do
    for _, it in ipairs(admin(worker).call_runs) do
      if it.request == key then runs = runs + it.runs end
    end
  end
  return runs
end

-- Returns the numbers of requests and of tasks that the worker has started.
function load_of(worker)
  local calls, counters = 0, admin(worker)
  for _, it in ipairs(counters.call_runs) do calls = calls + it.runs end
  return calls, #counters.executions
end

-- Fails unless the answer has an outcome or is an error that tells whether the
-- request may have run.
function expect_outcome(answer, text)
  local outcome = answer.body.outcome
  expect(outcome == "completed" or outcome == "not_run" or outcome == "unknown" or
    (answer.body.error and answer.body.may_have_run ~= nil),
    text .. " has an outcome: " .. tostring(answer.error) .. " " .. answer.text)
end

-- Sends bytes to the entry instance and returns the status line and headers of
-- its response, or nil.
function raw(entry, bytes)
  return native.raw(entry.address, entry_port, bytes, 10000)
end

function stop_all()
  for _, it in ipairs(site.entries) do
    if not it.stopped then native.signal(it.name, "TERM") end
  end
  for _, it in ipairs(site.entries) do
    if not it.stopped then
      local code = native.wait_exit(it.name, 40000)
      expect(code == 0, it.name .. " exits with 0, not " .. tostring(code))
    end
  end
end
