#include "command_line.hpp"
#include "commands.hpp"
#include "crowlink/console/minted_token.hpp"

#include <fmt/ostream.h>
#include <nlohmann/json.hpp>

namespace crowlink::internal
{

exit_code run_token(const arguments_type& arguments, command_output& output)
{
    command_line line("Makes a new operator's token. The token goes to the "
                      "operator; the entry goes into the control hosts' "
                      "tokens files, which never hold the token itself.",
                      output);
    TCLAP::UnlabeledValueArg<std::string> name("name", "the operator's name",
                                               true, "", "NAME", line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    const auto minted = mint_token();
    const nlohmann::ordered_json entry = {{"name", name.getValue()},
                                          {"token_hash", minted.hash}};
    fmt::print(output.out, "token  {}\nentry  {}\n", minted.token,
               entry.dump());
    return exit_code::ok;
}

} // namespace crowlink::internal
