#include "crowlink/client/run.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    crowlink::command_output output{std::cout, std::cerr};
    return static_cast<int>(crowlink::run_client(arguments, output));
}
