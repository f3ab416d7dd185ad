-- A caller sends one idempotency key to several instances while one of them is
-- killed and the log loses answers. Guards against a second run, and against
-- the outcome not_run for a request that ran.

start({ 1, 1, 1 }, { 1, 1 })
local rounds = 8
local victim = site.entries[3]
local calls = {}
for round = 1, rounds do
  local key = "same-" .. round
  if round % 2 == 0 then platform({ lose_answers = native.random(3) }) end
  calls[round] = {}
  for n, it in ipairs(site.entries) do
    if not it.stopped then
      table.insert(calls[round], start_request(it, { key = key, first_send = n == 1,
        work_ms = 100 + native.random(400), deadline_ms = 9000 }))
    end
    if native.random(2) == 1 then sleep(native.random(50) / 1000) end
  end
  if round == 5 then
    sleep(0.2)
    kill(victim)
    victim.stopped = true
  end
  sleep(0.3)
end
local outcomes = { completed = 0, not_run = 0, unknown = 0, broken = 0 }
for round = 1, rounds do
  local key, has_not_run, has_completed = "same-" .. round, false, false
  for _, it in ipairs(calls[round]) do
    local answer = await(it)
    local outcome = answer.body.outcome
    if not answer.status then
      outcome = "broken"
    else
      expect_outcome(answer, key)
    end
    outcomes[outcome] = outcomes[outcome] + 1
    has_not_run = has_not_run or outcome == "not_run"
    has_completed = has_completed or outcome == "completed"
  end
  local runs = runs_of(key)
  expect(runs <= 1, key .. " ran at most once, not " .. runs .. " times")
  expect(not has_completed or runs == 1, key .. " ran if a caller got completed")
  expect(not has_not_run or runs == 0, key .. " did not run if a caller got not_run")
end
report(string.format("%d completed, %d not run, %d unknown, %d connections broken",
  outcomes.completed, outcomes.not_run, outcomes.unknown, outcomes.broken))
expect(outcomes.completed >= rounds, "on average at least one call per round completes")
-- A repeated request gets the recorded outcome and does not run again.
for round = 1, rounds do
  local answer = request(site.entries[1], { key = "same-" .. round, deadline_ms = 5000 })
  expect_outcome(answer, "repeat of same-" .. round)
  expect(runs_of("same-" .. round) <= 1, "the repeat of same-" .. round .. " does not run again")
end
-- A repeated request waits until its own deadline, not until that of the first.
for _, it in ipairs({ site.entries[1], site.entries[2] }) do
  local key = "long-" .. it.number
  local first = start_request(site.entries[1], { key = key, first_send = true, work_ms = 8000,
    deadline_ms = 20000 })
  wait_until(10, key .. " runs", function() return runs_of(key) == 1 end)
  local started = now()
  local answer = request(it, { key = key, deadline_ms = 1000 })
  expect(answer.body.outcome == "unknown", "the repeat of " .. key ..
    " has the outcome unknown: " .. answer.text)
  expect(now() - started < 4, "the repeat of " .. key .. " is answered by its deadline, not after " ..
    (now() - started) .. " s")
  answer = await(first)
  expect(answer.body.outcome == "completed", key .. " completes: " .. answer.text)
  expect(runs_of(key) == 1, key .. " ran once")
end
stop_all()
