#include "crowlink/settings/load.hpp"

#include "document_file.hpp"
#include "object_reader.hpp"
#include "sections.hpp"

#include <filesystem>

namespace crowlink
{

namespace
{

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
    const nlohmann::json parsed = internal::parse_document(text, file, errors);
    if (!errors.empty())
    {
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
    const result<std::string> text = internal::read_file(file);
    if (!text)
    {
        return tl::unexpected(std::vector<error>{text.error()});
    }
    return parse_settings(*text, file);
}

} // namespace crowlink
