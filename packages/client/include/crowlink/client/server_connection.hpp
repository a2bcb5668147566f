#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/client/client_options.hpp"
#include "crowlink/client/http_answer.hpp"
#include "crowlink/client/http_call.hpp"

#include <string>

namespace crowlink
{

// Asks one of several servers.
class server_connection
{
public:
    // Reads the token file; fails if it cannot be read.
    static result<server_connection> open(const client_options& options);

    // Sends the call to each server in turn, again and again until one
    // answers or the time is up. A server that cannot be reached, drops the
    // connection or answers 503 is passed over, so the call may take effect at
    // a server whose answer is lost: it must be a read or carry an operation
    // id.
    result<http_answer> send(const http_call& call);

private:
    server_connection(const client_options& options, std::string token);

    result<http_answer> ask(const std::string& server, const http_call& call,
                            duration limit) const;

    client_options m_options;
    std::string m_token;
};

} // namespace crowlink
