// Serves the console on loopback over a system in memory, so that its pages can
// be looked at in a browser:
//
//   console_demo PORT TOKENS_FILE
//
// It ends when standard input does.

#include "crowlink/console.hpp"
#include "fake_backend.hpp"

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <string>

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        fmt::print(stderr, "console_demo PORT TOKENS_FILE\n");
        return 2;
    }
    crowlink::console_settings settings;
    settings.listen = crowlink::endpoint::parse("127.0.0.1:0").value();
    settings.listen.port = static_cast<std::uint16_t>(std::atoi(argv[1]));
    settings.tokens = argv[2];
    crowlink::fake_backend backend;
    crowlink::console server(settings, backend);
    const auto where = server.start();
    if (!where)
    {
        fmt::print(stderr, "{}\n", to_string(where.error()));
        return 1;
    }
    fmt::print("http://{}/\n", where->to_string());
    std::fflush(stdout);
    std::string line;
    while (std::getline(std::cin, line))
    {
    }
    return 0;
}
