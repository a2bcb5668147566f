#include "crowlink/daemon/run_daemon.hpp"

#include "crowlink/settings/load.hpp"
#include "process/allocator.hpp"
#include "process/command_line.hpp"
#include "process/running_daemon.hpp"
#include "process/settings_watch.hpp"
#include "process/signals.hpp"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <unistd.h>

namespace crowlink
{

namespace
{

constexpr std::chrono::milliseconds drain_poll(50);
constexpr std::chrono::seconds idle_poll(1);

void print(const error& value)
{
    fmt::print(stderr, "crowlinkd: {}\n", to_string(value));
}

// Takes in what may change while the daemon runs. Settings that are refused
// leave everything as it is.
void reload(const std::string& file, internal::running_daemon& daemon,
            log_sink& log)
{
    daemon.reload_grants();
    const settings_result fresh = load_settings(file);
    if (fresh)
    {
        daemon.reload(*fresh);
        return;
    }
    for (const error& each : fresh.error())
    {
        log.write(log_line(log_level::error, "settings_refused")
                      .field("file", file)
                      .field("error", to_string(each)));
    }
}

// Serves until a signal ends it or storage fails. The settings may change with
// a signal or without one.
exit_code serve(const internal::signals& signals, const std::string& file,
                internal::running_daemon& daemon, log_sink& log)
{
    internal::settings_watch watch(file);
    while (!daemon.has_failed())
    {
        const std::optional<int> got = signals.wait(idle_poll);
        if (got == SIGHUP || watch.changed())
        {
            (void)watch.changed();
            reload(file, daemon, log);
        }
        if (got.value_or(SIGHUP) != SIGHUP)
        {
            return exit_code::success;
        }
    }
    return exit_code::failed;
}

// Waits until something is done; a second signal ends the process at once.
template <class Done>
void wait_until(const internal::signals& signals, const Done& done)
{
    while (!done())
    {
        const std::optional<int> got = signals.wait(drain_poll);
        const bool ends = got.value_or(SIGHUP) != SIGHUP;
        if (ends)
        {
            ::_exit(static_cast<int>(exit_code::cut_short));
        }
    }
}

exit_code run(const daemon_settings& settings, const std::string& file)
{
    internal::share_heap();
    // Before any thread, so that all of them inherit the mask.
    const internal::signals signals;
    log_sink log(stdout, settings.log.format, settings.log.level,
                 settings.log.queue_lines);
    auto daemon = internal::running_daemon::start(settings, log);
    if (!daemon)
    {
        print(daemon.error());
        return exit_code::cannot_start;
    }
    const exit_code code = serve(signals, file, **daemon, log);
    if (code == exit_code::success)
    {
        (*daemon)->drain();
        wait_until(signals, [&] { return (*daemon)->drained(); });
        (*daemon)->leave();
        wait_until(signals, [&] { return (*daemon)->left(); });
        log.write(log_line(log_level::info, "stopped"));
    }
    return code;
}

} // namespace

exit_code run_daemon(int argc, char** argv)
{
    const auto line = internal::read_command_line(argc, argv);
    if (!line)
    {
        return line.error();
    }
    const settings_result settings = load_settings(line->settings_file);
    if (!settings)
    {
        for (const error& each : settings.error())
        {
            print(each);
        }
        return exit_code::invalid_settings;
    }
    if (line->check_only)
    {
        fmt::print("{}: valid\n", line->settings_file);
        return exit_code::success;
    }
    return run(*settings, line->settings_file);
}

} // namespace crowlink
