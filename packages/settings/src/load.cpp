#include "crowlink/settings/load.hpp"

#include "object_reader.hpp"
#include "sections.hpp"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

namespace crowlink
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

void resolve(const std::filesystem::path& folder, std::string& path)
{
    if (!path.empty())
    {
        path = (folder / path).lexically_normal().string();
    }
}

void resolve_paths(const std::string& file, daemon_settings& settings)
{
    const std::filesystem::path folder =
        std::filesystem::path(file).parent_path();
    if (settings.keys)
    {
        resolve(folder, settings.keys->own);
        resolve(folder, settings.keys->allowed);
        for (std::string& packet : settings.keys->packet)
        {
            resolve(folder, packet);
        }
    }
    if (settings.control)
    {
        resolve(folder, settings.control->data_folder);
        resolve(folder, settings.control->tokens_file);
    }
    if (settings.control && settings.control->tls)
    {
        resolve(folder, settings.control->tls->certificate);
        resolve(folder, settings.control->tls->key);
    }
}

} // namespace

settings_result parse_settings(std::string_view text, const std::string& file)
{
    std::vector<error> errors;
    json parsed;
    try
    {
        constexpr bool throws = true;
        constexpr bool ignore_comments = true;
        duplicate_finder finder(file, errors);
        parsed = json::parse(text, std::ref(finder), throws, ignore_comments);
    }
    catch (const json::exception& failure)
    {
        errors.push_back(error{error_kind::invalid, file,
                               fmt::format("not JSON: {}", failure.what())});
        return tl::unexpected(std::move(errors));
    }
    internal::object_reader reader(parsed, file, "", errors);
    daemon_settings settings = internal::read_daemon(reader);
    reader.finish();
    if (!errors.empty())
    {
        return tl::unexpected(std::move(errors));
    }
    resolve_paths(file, settings);
    return settings;
}

settings_result load_settings(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream),
                           std::istreambuf_iterator<char>()};
    if (!stream || stream.bad())
    {
        return tl::unexpected(std::vector<error>{
            error{error_kind::storage, file, "cannot be read"}});
    }
    return parse_settings(text, file);
}

} // namespace crowlink
