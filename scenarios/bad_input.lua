-- Callers send malformed input. Guards against a wrong or missing error,
-- against an entry instance that stops serving, and against work that runs
-- although its request was refused. Counts runs of requests, not of tasks.

start({ 1 }, { 1 })
local entry = site.entries[1]
local before = load_of(site.workers[1])
local function refuse(method, target, body, expected, token)
  local answer = call(method, entry, target, body, 10, token)
  expect(answer.status == expected and answer.body.error,
    method .. " " .. target .. " " .. body:sub(1, 60) .. " gives " .. expected .. ", not " ..
    tostring(answer.status) .. " " .. tostring(answer.error) .. " " .. answer.text)
  expect(answer.body.detail and #answer.body.detail > 0, "the error has a detail: " .. answer.text)
end
for _, target in ipairs({ "/v1/requests", "/v1/tasks" }) do
  refuse("POST", target, "", 400)
  refuse("POST", target, '{"service":"twist-lot', 400)
  refuse("POST", target, "[]", 400)
  refuse("POST", target, '"text"', 400)
  refuse("POST", target, '{"service":"a\xff\xfe"}', 400)
  refuse("POST", target, '{"service":"a","service":"b","key":"c","key":"d"}', 400)
  refuse("POST", target, '{"service":1,"key":2}', 400)
  refuse("POST", target, '{"unknown":true}', 400)
  refuse("POST", target, string.rep("[", 100000), 400)
end
refuse("POST", "/v1/requests", '{"service":"none","deadline_ms":100}', 404)
refuse("POST", "/v1/requests", '{"service":"twist-lot-confirmation","deadline_ms":-1}', 400)
refuse("POST", "/v1/requests", '{"service":"twist-lot-confirmation","deadline_ms":"1"}', 400)
refuse("POST", "/v1/requests", '{"service":"twist-lot-confirmation","deadline_ms":99999999999999999999}', 400)
refuse("POST", "/v1/requests", '{"service":"inventory-reconciliation"}', 400)
refuse("POST", "/v1/tasks", '{"key":"a b","team":"orders","class":"tar-and-strand"}', 400)
refuse("POST", "/v1/tasks", '{"key":"a","team":"nobody","class":"tar-and-strand"}', 404)
refuse("POST", "/v1/config", '{"base_version":0,"set":{}}', 401)
refuse("POST", "/v1/config", '{"base_version":0}', 400, operator())
refuse("POST", "/v1/config", '{"base_version":0,"set":{"objects":[{"kind":"none","name":"x"}]}}',
  422, operator())
refuse("GET", "/v1/tasks/none", "", 404)
refuse("DELETE", "/v1/tasks/none", "", 404)
refuse("GET", "/nothing", "", 404)

local function refuse_raw(name, bytes)
  local head = raw(entry, bytes)
  expect(head and head:match("^HTTP/1.%d 4%d%d"), name .. " gives a 4xx: " .. tostring(head))
end
local post = "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
refuse_raw("an oversized body", post .. "Content-Length: 100000000\r\n\r\n{")
refuse_raw("a chunked body", post .. "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
refuse_raw("a negative length", post .. "Content-Length: -5\r\n\r\n")
-- Neither a truncated body nor bytes that are not HTTP may start any work.
raw(entry, post .. "Content-Length: 500\r\n\r\n{\"service\":")
raw(entry, "\0\1\2\3\r\n\r\n")
raw(entry, string.rep("x", 100000))

expect(call("GET", entry, "/healthz").status == 200, "the entry instance still serves")
expect(load_of(site.workers[1]) == before, "no refused request has run (tasks are not counted)")
expect(request(entry).body.outcome == "completed", "valid requests complete")
stop_all()
