-- An entry instance is stopped by SIGTERM while it has requests in flight.
-- Guards against a drain that aborts a request or loses a task.

start({ 1, 1 }, { 1, 1 })
local leaving, staying = site.entries[1], site.entries[2]
local calls = {}
for n = 1, 12 do
  calls[#calls + 1] = start_request(leaving, { work_ms = 200 + native.random(1800),
    deadline_ms = 10000 })
end
for n = 1, 4 do
  calls[#calls + 1] = start_request(leaving, { key = "stop-" .. n, first_send = true,
    work_ms = 1500, deadline_ms = 10000 })
end
for n = 1, 6 do
  local answer = submit(leaving, { key = "stop-" .. n, run_ms = 2500 })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
sleep(0.3)
local started = now()
signal(leaving, "TERM")
-- Callers keep sending until the load balancer notices that the instance drains.
for n = 1, 5 do
  calls[#calls + 1] = start_request(leaving, { work_ms = 100, deadline_ms = 10000 })
  sleep(0.05)
end
for n = 1, #calls do
  local answer = await(calls[n])
  expect(answer.body.outcome == "completed",
    "request " .. n .. " completes: " .. tostring(answer.error) .. " " .. answer.text)
end
local code = native.wait_exit(leaving.name, 40000)
expect(code == 0, "the leaving entry instance exits with code 0, not " .. tostring(code))
leaving.stopped = true
report(string.format("stopped after %.1f s, %d requests completed", now() - started, #calls))
for n = 1, 4 do expect(runs_of("stop-" .. n) == 1, "key " .. n .. " ran once") end
for n = 1, 6 do wait_task(staying, "orders.stop-" .. n, 60) end
expect_no_double_run()
wait_serving(staying)
stop_all()
