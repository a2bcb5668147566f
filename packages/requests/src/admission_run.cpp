// The part of admission_core that queues requests and has them run.

#include "admission_core.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

std::vector<std::uint32_t> weights_of(const admission_settings& settings)
{
    std::vector<std::uint32_t> weights;
    weights.reserve(settings.kinds.size());
    for (const request_kind& kind : settings.kinds)
    {
        weights.push_back(kind.weight);
    }
    return weights;
}

} // namespace

admission_core::admission_core(const admission_settings& settings,
                               incarnation own)
    : m_settings(settings)
    , m_own(own)
    , m_memory(own, settings.memory)
    , m_run_times(weights_of(settings), settings.assumed_run_time)
    , m_queue(settings.kinds.size(), settings.queue_limit)
{
}

void admission_core::handle_upstream(time_point now, std::string_view datagram,
                                     admission_effects& effects)
{
    auto answer = decode_upstream_answer(datagram);
    if (!answer)
    {
        ++m_counts.invalid;
        return;
    }
    const auto found = m_jobs.find(answer->id.number);
    if (answer->id.agent != m_own || found == m_jobs.end() ||
        found->second.state != job_state::running)
    {
        ++m_counts.duplicates;
        return;
    }
    job& run = found->second;
    if (answer->outcome == verdict::ran && run.kind != no_kind)
    {
        m_run_times.observe(run.kind, now - run.started);
    }
    end(run, answer_of(run, *answer), effects);
    start_what_can(now, effects);
}

request_answer admission_core::answer_of(const job& run,
                                         upstream_answer& from) const
{
    request_answer answer;
    answer.outcome = from.outcome;
    if (from.outcome == verdict::ran)
    {
        answer.body = std::move(from.body);
        return answer;
    }
    answer.reason = run.stopping ? answer_reason::cancelled
                                 : answer_reason::upstream_refused;
    answer.retry_after = std::max(from.retry_after, retry_after());
    return answer;
}

void admission_core::upstream_lost(admission_effects& effects)
{
    m_upstream_up = false;
    std::vector<std::uint64_t> pending;
    for (const auto& entry : m_jobs)
    {
        if (entry.second.state != job_state::receiving)
        {
            pending.push_back(entry.first);
        }
    }
    // In the order of arrival, so that a run repeats.
    std::sort(pending.begin(), pending.end());
    for (const std::uint64_t number : pending)
    {
        refuse(m_jobs.at(number), answer_reason::upstream_lost, effects);
    }
}

void admission_core::upstream_ready(time_point now, admission_effects& effects)
{
    m_upstream_up = true;
    start_what_can(now, effects);
}

void admission_core::advance(time_point now, admission_effects& effects)
{
    while (const std::optional<std::uint64_t> due = m_wakeups.take(now))
    {
        take_due(now, m_jobs.at(*due), effects);
    }
    start_what_can(now, effects);
}

void admission_core::take_due(time_point now, job& due,
                              admission_effects& effects)
{
    if (due.state != job_state::running)
    {
        refuse(due, answer_reason::expired, effects);
        return;
    }
    const time_point abandoned = due.deadline + m_settings.abandon_after;
    if (now >= abandoned)
    {
        refuse(due, answer_reason::upstream_lost, effects);
        return;
    }
    stop(due, effects);
    m_wakeups.set(due.number, abandoned);
}

void admission_core::admit(time_point now, job& whole,
                           admission_effects& effects)
{
    if (const std::optional<answer_reason> reason = refusal(now, whole))
    {
        refuse(whole, *reason, effects);
        return;
    }
    whole.state = job_state::queued;
    ++m_counts.queued;
    decide(admission_step::queued, whole, answer_reason::answered, effects);
    const std::optional<queued_work> shed =
        m_queue.push({whole.number, whole.kind, whole.weight, 0});
    if (shed)
    {
        refuse(m_jobs.at(shed->job), answer_reason::overloaded, effects);
    }
    start_what_can(now, effects);
}

std::optional<answer_reason> admission_core::refusal(time_point now,
                                                     const job& whole) const
{
    if (!m_upstream_up)
    {
        return answer_reason::upstream_lost;
    }
    if (now >= whole.deadline)
    {
        return answer_reason::expired;
    }
    if (!must_wait())
    {
        return std::nullopt;
    }
    const duration run = m_run_times.of(whole.kind);
    const duration wait =
        run / m_settings.slots +
        m_run_times.wait(whole.kind, m_queue.queues(), m_settings.slots);
    if (wait > m_settings.longest_wait || now + wait + run > whole.deadline)
    {
        return answer_reason::overloaded;
    }
    return std::nullopt;
}

bool admission_core::must_wait() const
{
    return m_counts.running >= m_settings.slots || m_queue.size() > 0;
}

void admission_core::start_what_can(time_point now, admission_effects& effects)
{
    while (m_upstream_up && m_counts.running < m_settings.slots)
    {
        const std::optional<queued_work> next = m_queue.pop();
        if (!next)
        {
            return;
        }
        job& chosen = m_jobs.at(next->job);
        if (now >= chosen.deadline)
        {
            refuse(chosen, answer_reason::expired, effects);
            continue;
        }
        start(now, chosen, effects);
    }
}

void admission_core::start(time_point now, job& next,
                           admission_effects& effects)
{
    --m_counts.queued;
    ++m_counts.started;
    ++m_counts.running;
    m_counts.running_weight += next.weight;
    next.state = job_state::running;
    next.started = now;
    m_body_bytes -= next.charged;
    next.charged = 0;
    effects.work_started.push_back(next.weight);
    upstream_run run;
    run.id = {m_own, next.number};
    run.kind = kind_name(next);
    run.remaining = next.deadline - now;
    run.body = std::move(next.body);
    effects.to_upstream.push_back(encode(upstream_command(run)));
    decide(admission_step::started, next, answer_reason::answered, effects);
}

void admission_core::stop(job& running, admission_effects& effects)
{
    if (!running.stopping)
    {
        running.stopping = true;
        const upstream_cancel cancel{{m_own, running.number}};
        effects.to_upstream.push_back(encode(upstream_command(cancel)));
    }
}

void admission_core::refuse(job& of, answer_reason reason,
                            admission_effects& effects)
{
    request_answer answer;
    answer.outcome = of.state == job_state::running ? verdict::may_have_run
                                                    : verdict::not_run;
    answer.reason = reason;
    if (reason == answer_reason::overloaded ||
        reason == answer_reason::upstream_lost)
    {
        answer.retry_after = retry_after();
    }
    end(of, std::move(answer), effects);
}

void admission_core::end(job& of, request_answer answer,
                         admission_effects& effects)
{
    if (of.state == job_state::running)
    {
        leave_slot(of, effects);
    }
    else if (of.state == job_state::queued)
    {
        m_queue.remove(of.kind, of.number);
        --m_counts.queued;
    }
    const bool refused = answer.outcome == verdict::not_run;
    m_counts.refused += refused ? 1 : 0;
    decide(refused ? admission_step::refused : admission_step::ended, of,
           answer.reason, effects);
    m_body_bytes -= of.charged;
    m_wakeups.clear(of.number);
    const request_answer* kept =
        m_memory.finish(of.session, of.sequence, std::move(answer));
    if (kept != nullptr)
    {
        send(of.flow, of.id, of.attempt, *kept, effects);
    }
    m_jobs.erase(of.number);
}

void admission_core::leave_slot(const job& of, admission_effects& effects)
{
    ++m_counts.ended;
    --m_counts.running;
    m_counts.running_weight -= of.weight;
    effects.work_ended.push_back(of.weight);
}

duration admission_core::retry_after() const
{
    return std::max(m_settings.least_retry_after,
                    m_run_times.drain_time(m_queue.queues(), m_settings.slots));
}

std::optional<kind_index>
admission_core::kind_named(std::string_view name) const
{
    for (kind_index kind = 0; kind < m_settings.kinds.size(); ++kind)
    {
        if (m_settings.kinds[kind].name == name)
        {
            return kind;
        }
    }
    return std::nullopt;
}

std::string admission_core::kind_name(const job& of) const
{
    return of.kind < m_settings.kinds.size() ? m_settings.kinds[of.kind].name
                                             : std::string();
}

void admission_core::decide(admission_step step, const job& on,
                            answer_reason reason, admission_effects& effects)
{
    effects.decisions.push_back({step, on.flow, on.id, kind_name(on), reason});
}

void admission_core::apply(time_point now, const admission_settings& settings,
                           admission_effects& effects)
{
    const std::vector<request_kind> before = m_settings.kinds;
    const run_times observed = m_run_times;
    m_settings = settings;
    m_run_times = run_times(weights_of(settings), settings.assumed_run_time);
    for (kind_index kind = 0; kind < before.size(); ++kind)
    {
        const std::optional<kind_index> now_kind =
            kind_named(before[kind].name);
        const std::optional<duration> mean = observed.observed(kind);
        if (now_kind && mean)
        {
            m_run_times.observe(*now_kind, *mean);
        }
    }
    renumber_kinds(before, effects);
    start_what_can(now, effects);
}

void admission_core::renumber_kinds(const std::vector<request_kind>& before,
                                    admission_effects& effects)
{
    work_queue<fair_order> old(m_settings.kinds.size(), m_settings.queue_limit);
    std::swap(old, m_queue);
    std::vector<std::uint64_t> gone;
    for (auto& entry : m_jobs)
    {
        job& each = entry.second;
        const std::optional<kind_index> kind =
            each.kind == no_kind ? std::nullopt
                                 : kind_named(before[each.kind].name);
        each.kind = kind.value_or(no_kind);
        if (!kind && each.state != job_state::running)
        {
            gone.push_back(each.number);
        }
    }
    std::sort(gone.begin(), gone.end());
    while (const std::optional<queued_work> next = old.pop())
    {
        const job& waiting = m_jobs.at(next->job);
        if (waiting.kind == no_kind)
        {
            continue;
        }
        const std::optional<queued_work> shed =
            m_queue.push({waiting.number, waiting.kind, waiting.weight, 0});
        if (shed)
        {
            refuse(m_jobs.at(shed->job), answer_reason::overloaded, effects);
        }
    }
    for (const std::uint64_t number : gone)
    {
        refuse(m_jobs.at(number), answer_reason::wrong_kind, effects);
    }
}

} // namespace crowlink::internal
