#include "shared/pause_monitor.hpp"

#include <cstdio>
#include <gtest/gtest.h>
#include <memory>
#include <string>

namespace crowlink::internal
{

namespace
{

using namespace std::chrono_literals;

class pause_monitor_lines : public testing::Test
{
protected:
    // The lines for a thread that wakes after each of these times.
    std::string lines_of(const std::vector<duration>& waits)
    {
        const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(
            std::tmpfile(), &std::fclose);
        {
            log_sink log(file.get(), log_format::key_value, log_level::info);
            pause_monitor pauses(log, "agent");
            time_point now{1h};
            pauses.woke(now);
            for (const duration wait : waits)
            {
                now += wait;
                pauses.woke(now);
            }
        }
        std::rewind(file.get());
        std::string text(4096, '\0');
        text.resize(std::fread(text.data(), 1, text.size(), file.get()));
        return text;
    }
};

} // namespace

TEST_F(pause_monitor_lines, name_a_thread_that_did_not_run)
{
    const std::string text = lines_of({50ms, 600ms, 50ms});
    EXPECT_NE(text.find("event=thread_paused thread=agent paused_ms=600"),
              std::string::npos)
        << text;
    EXPECT_EQ(text.find("paused_ms"), text.rfind("paused_ms"));
}

TEST_F(pause_monitor_lines, are_none_for_usual_delays)
{
    EXPECT_EQ(lines_of({50ms, 200ms, 249ms}), "");
}

} // namespace crowlink::internal
