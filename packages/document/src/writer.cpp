#include "crowlink/document/document_writer.hpp"

#include "document_json.hpp"

namespace crowlink
{

std::string write_document(const system_document& document)
{
    constexpr int indent = 2;
    return internal::to_json(document).dump(indent) + "\n";
}

std::string write_compact_document(const system_document& document)
{
    return internal::to_json(document).dump();
}

} // namespace crowlink
