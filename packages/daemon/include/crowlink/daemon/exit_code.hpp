#pragma once

namespace crowlink
{

// The exit status of crowlinkd.
enum class exit_code : int
{
    // Stopped after draining, or --check found nothing wrong.
    success = 0,
    // The arguments are wrong.
    usage = 2,
    // The settings file cannot be read or breaks rules.
    invalid_settings = 3,
    // A port, folder, key or certificate cannot be used.
    cannot_start = 4,
    // Storage failed while running.
    failed = 5,
    // A second signal cut the draining short.
    cut_short = 6,
};

} // namespace crowlink
