-- One worker is listed as leaving by the platform, another reports it itself.
-- Guards against new work on them once the instances have learned it.

-- Time in seconds within which the instances stop using a leaving worker.
local LEAVING_SECONDS = 5
start({ 1, 1 }, { 1, 1, 1 })
platform({ leaving = "worker-1" })
admin(site.workers[2], { leaving = true })
sleep(LEAVING_SECONDS)
local before = { { load_of(site.workers[1]) }, { load_of(site.workers[2]) } }
for n = 1, 20 do
  local entry = site.entries[n % 2 + 1]
  local answer = request(entry, { deadline_ms = 4000 })
  expect(answer.body.outcome == "completed", "request " .. n .. " completes: " .. answer.text)
end
for n = 1, 6 do
  local answer = submit(site.entries[n % 2 + 1], { key = "leave-" .. n, run_ms = 300 })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
for n = 1, 6 do wait_task(site.entries[1], "orders.leave-" .. n, 60) end
for n = 1, 2 do
  local calls, tasks = load_of(site.workers[n])
  expect(calls == before[n][1] and tasks == before[n][2],
    "worker-" .. n .. " got no work after it was announced as leaving")
end
expect_no_double_run()
stop_all()
