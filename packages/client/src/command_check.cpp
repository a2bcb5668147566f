#include "command_line.hpp"
#include "commands.hpp"
#include "document_file.hpp"

#include <fmt/ostream.h>

namespace crowlink::internal
{

exit_code run_check(const arguments_type& arguments, command_output& output)
{
    command_line line("Checks a document without a server and prints every "
                      "rule that it breaks.",
                      output);
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "the document, or - for standard input", true, "", "FILE",
        line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    const auto text = read_checked(file.getValue(), output);
    if (!text)
    {
        return text.error();
    }
    fmt::print(output.out, "valid\n");
    return exit_code::ok;
}

} // namespace crowlink::internal
