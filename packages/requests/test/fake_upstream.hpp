#pragma once

#include "crowlink/base/random.hpp"
#include "crowlink/requests/message_codec.hpp"
#include "reference_service.hpp"
#include "run_record.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crowlink::test
{

// An upstream that sheds load, delays and prolongs runs, supports cancellation,
// and can crash and lose all its runs.
class fake_upstream
{
public:
    fake_upstream(run_record& record, double shed)
        : m_record(record), m_shed(shed)
    {
    }

    // Handles a command. Returns an answer if there is an immediate one.
    std::optional<std::string> take(time_point now, const std::string& datagram,
                                    seeded_random& random)
    {
        const auto command = decode_upstream_command(datagram);
        if (!m_alive || !command)
        {
            return std::nullopt;
        }
        if (const auto* stop = std::get_if<upstream_cancel>(&*command))
        {
            return cancel(stop->id);
        }
        const auto& run = std::get<upstream_run>(*command);
        std::uniform_real_distribution<double> uniform(0, 1);
        if (uniform(random) < m_shed)
        {
            return encode(upstream_answer{run.id, verdict::not_run, {}, {}});
        }
        const auto wait = std::chrono::microseconds(random() % 4000);
        const auto length = std::chrono::microseconds(random() % 20000);
        m_runs[run.id] = {run, now + wait, now + wait + length, false};
        return std::nullopt;
    }

    // Starts and ends the runs that are due. Returns the answers.
    std::vector<std::string> advance(time_point now)
    {
        std::vector<std::string> answers;
        for (auto next = m_runs.begin(); next != m_runs.end();)
        {
            pending_run& run = next->second;
            if (!run.started && run.start <= now)
            {
                run.started = true;
                m_record.started(run.command.body);
            }
            if (run.end > now)
            {
                ++next;
                continue;
            }
            answers.push_back(encode(upstream_answer{
                next->first, verdict::ran, {}, answer(run.command)}));
            next = m_runs.erase(next);
        }
        return answers;
    }

    time_point next_wakeup() const
    {
        time_point next = time_point::max();
        for (const auto& entry : m_runs)
        {
            const pending_run& run = entry.second;
            next = std::min(next, run.started ? run.end : run.start);
        }
        return next;
    }

    void crash()
    {
        m_alive = false;
        m_runs.clear();
    }

    void restart() { m_alive = true; }

private:
    struct pending_run
    {
        upstream_run command;
        time_point start;
        time_point end;
        bool started = false;
    };

    // Returns the answer of the reference service with a mark of the run as
    // filler, so that mixing the parts of two runs is detected.
    std::string answer(const upstream_run& run)
    {
        std::string body = reference_service::answer(run.kind, run.body);
        ++m_last_mark;
        std::replace(body.begin(), body.end(), reference_service::filler,
                     static_cast<char>('A' + m_last_mark % 26));
        return body;
    }

    std::optional<std::string> cancel(run_id id)
    {
        const auto found = m_runs.find(id);
        if (found == m_runs.end())
        {
            return std::nullopt;
        }
        const verdict outcome =
            found->second.started ? verdict::may_have_run : verdict::not_run;
        m_runs.erase(found);
        return encode(upstream_answer{id, outcome, {}, {}});
    }

    run_record& m_record;
    double m_shed;
    bool m_alive = true;
    int m_last_mark = 0;
    std::map<run_id, pending_run> m_runs;
};

} // namespace crowlink::test
