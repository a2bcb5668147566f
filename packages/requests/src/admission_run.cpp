// The part of admission_core that queues and starts requests.

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
    end(run, convert_answer(run, *answer), effects);
    start_queued(now, effects);
}

request_answer admission_core::convert_answer(const job& run,
                                              upstream_answer& from) const
{
    request_answer answer;
    answer.outcome = from.outcome;
    if (from.outcome == verdict::ran)
    {
        answer.body = std::move(from.body);
        return answer;
    }
    answer.reason = run.cancel_sent ? answer_reason::cancelled
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
    // Sorted by arrival for deterministic results.
    std::sort(pending.begin(), pending.end());
    for (const std::uint64_t number : pending)
    {
        refuse(m_jobs.at(number), answer_reason::upstream_lost, effects);
    }
}

void admission_core::upstream_ready(time_point now, admission_effects& effects)
{
    m_upstream_up = true;
    start_queued(now, effects);
}

void admission_core::advance(time_point now, admission_effects& effects)
{
    while (const std::optional<std::uint64_t> due = m_timers.pop_due(now))
    {
        on_timeout(now, m_jobs.at(*due), effects);
    }
    start_queued(now, effects);
}

void admission_core::on_timeout(time_point now, job& expired,
                                admission_effects& effects)
{
    if (expired.state != job_state::running)
    {
        refuse(expired, answer_reason::expired, effects);
        return;
    }
    const time_point abandoned = expired.deadline + m_settings.abandon_after;
    if (now >= abandoned)
    {
        refuse(expired, answer_reason::upstream_lost, effects);
        return;
    }
    cancel_run(expired, effects);
    m_timers.set(expired.number, abandoned);
}

void admission_core::admit(time_point now, job& received,
                           admission_effects& effects)
{
    if (const std::optional<answer_reason> reason =
            refusal_reason(now, received))
    {
        refuse(received, *reason, effects);
        return;
    }
    received.state = job_state::queued;
    ++m_counts.queued;
    record_decision(admission_step::queued, received, answer_reason::answered,
                    effects);
    const std::optional<queued_work> shed =
        m_queue.push({received.number, received.kind, received.weight, 0});
    if (shed)
    {
        refuse(m_jobs.at(shed->job), answer_reason::overloaded, effects);
    }
    start_queued(now, effects);
}

std::optional<answer_reason>
admission_core::refusal_reason(time_point now, const job& received) const
{
    if (!m_upstream_up)
    {
        return answer_reason::upstream_lost;
    }
    if (now >= received.deadline)
    {
        return answer_reason::expired;
    }
    if (!must_wait())
    {
        return std::nullopt;
    }
    const duration run = m_run_times.expected(received.kind);
    const duration wait =
        run / m_settings.slots + m_run_times.expected_wait(received.kind,
                                                           m_queue.queues(),
                                                           m_settings.slots);
    if (wait > m_settings.max_wait || now + wait + run > received.deadline)
    {
        return answer_reason::overloaded;
    }
    return std::nullopt;
}

bool admission_core::must_wait() const
{
    return m_counts.running >= m_settings.slots || m_queue.size() > 0;
}

void admission_core::start_queued(time_point now, admission_effects& effects)
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
    m_body_bytes -= next.charged_bytes;
    next.charged_bytes = 0;
    effects.work_started.push_back(next.weight);
    upstream_run run;
    run.id = {m_own, next.number};
    run.kind = kind_name(next);
    run.remaining = next.deadline - now;
    run.body = std::move(next.body);
    effects.to_upstream.push_back(encode(upstream_command(run)));
    record_decision(admission_step::started, next, answer_reason::answered,
                    effects);
}

void admission_core::cancel_run(job& running, admission_effects& effects)
{
    if (!running.cancel_sent)
    {
        running.cancel_sent = true;
        const upstream_cancel cancel{{m_own, running.number}};
        effects.to_upstream.push_back(encode(upstream_command(cancel)));
    }
}

void admission_core::refuse(job& target, answer_reason reason,
                            admission_effects& effects)
{
    request_answer answer;
    answer.outcome = target.state == job_state::running ? verdict::may_have_run
                                                        : verdict::not_run;
    answer.reason = reason;
    if (reason == answer_reason::overloaded ||
        reason == answer_reason::upstream_lost)
    {
        answer.retry_after = retry_after();
    }
    end(target, std::move(answer), effects);
}

void admission_core::end(job& target, request_answer answer,
                         admission_effects& effects)
{
    if (target.state == job_state::running)
    {
        release_slot(target, effects);
    }
    else if (target.state == job_state::queued)
    {
        m_queue.remove(target.kind, target.number);
        --m_counts.queued;
    }
    const bool refused = answer.outcome == verdict::not_run;
    m_counts.refused += refused ? 1 : 0;
    record_decision(refused ? admission_step::refused : admission_step::ended,
                    target, answer.reason, effects);
    m_body_bytes -= target.charged_bytes;
    m_timers.clear(target.number);
    const request_answer* kept =
        m_memory.finish(target.session, target.sequence, std::move(answer));
    if (kept != nullptr)
    {
        send(target.flow, target.id, target.attempt, *kept, effects);
    }
    m_jobs.erase(target.number);
}

void admission_core::release_slot(const job& target, admission_effects& effects)
{
    ++m_counts.ended;
    --m_counts.running;
    m_counts.running_weight -= target.weight;
    effects.work_ended.push_back(target.weight);
}

duration admission_core::retry_after() const
{
    return std::max(m_settings.min_retry_after,
                    m_run_times.drain_time(m_queue.queues(), m_settings.slots));
}

std::optional<kind_index> admission_core::find_kind(std::string_view name) const
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

std::string admission_core::kind_name(const job& target) const
{
    return target.kind < m_settings.kinds.size()
               ? m_settings.kinds[target.kind].name
               : std::string();
}

void admission_core::record_decision(admission_step step, const job& subject,
                                     answer_reason reason,
                                     admission_effects& effects)
{
    effects.decisions.push_back(
        {step, subject.flow, subject.id, kind_name(subject), reason});
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
        const std::optional<kind_index> new_kind = find_kind(before[kind].name);
        const std::optional<duration> mean = observed.observed_mean(kind);
        if (new_kind && mean)
        {
            m_run_times.observe(*new_kind, *mean);
        }
    }
    renumber_kinds(before, effects);
    start_queued(now, effects);
}

void admission_core::renumber_kinds(const std::vector<request_kind>& before,
                                    admission_effects& effects)
{
    work_queue<fair_order> old(m_settings.kinds.size(), m_settings.queue_limit);
    std::swap(old, m_queue);
    std::vector<std::uint64_t> removed;
    for (auto& entry : m_jobs)
    {
        job& each = entry.second;
        const std::optional<kind_index> kind =
            each.kind == no_kind ? std::nullopt
                                 : find_kind(before[each.kind].name);
        each.kind = kind.value_or(no_kind);
        if (!kind && each.state != job_state::running)
        {
            removed.push_back(each.number);
        }
    }
    std::sort(removed.begin(), removed.end());
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
    for (const std::uint64_t number : removed)
    {
        refuse(m_jobs.at(number), answer_reason::wrong_kind, effects);
    }
}

} // namespace crowlink::internal
