#include "document_file.hpp"

#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;

// The JSON library keeps the last of two fields of one name; they are found
// here, while the text is parsed.
class duplicate_finder
{
public:
    duplicate_finder(const std::string& file, std::vector<error>& errors)
        : m_file(file), m_errors(errors)
    {
    }

    bool operator()(int, json::parse_event_t event, json& parsed)
    {
        if (event == json::parse_event_t::object_start)
        {
            m_open.emplace_back();
        }
        else if (event == json::parse_event_t::object_end)
        {
            m_open.pop_back();
        }
        else if (event == json::parse_event_t::key)
        {
            add(parsed.get<std::string>());
        }
        return true;
    }

private:
    void add(const std::string& name)
    {
        if (!m_open.back().insert(name).second)
        {
            m_errors.push_back(error{error_kind::invalid, m_file,
                                     fmt::format("found field \"{}\" twice in "
                                                 "one object; allowed: once",
                                                 name)});
        }
    }

    const std::string& m_file;
    std::vector<error>& m_errors;
    std::vector<std::set<std::string>> m_open;
};

} // namespace

result<std::string> read_file(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream),
                     std::istreambuf_iterator<char>()};
    if (!stream || stream.bad())
    {
        return fail(error_kind::storage, file, "cannot be read");
    }
    return text;
}

json parse_document(std::string_view text, const std::string& file,
                    std::vector<error>& errors)
{
    try
    {
        constexpr bool throws = true;
        constexpr bool ignore_comments = true;
        duplicate_finder finder(file, errors);
        return json::parse(text, std::ref(finder), throws, ignore_comments);
    }
    catch (const json::exception& failure)
    {
        errors.push_back(error{error_kind::invalid, file,
                               fmt::format("not JSON: {}", failure.what())});
        return {};
    }
}

} // namespace crowlink::internal
