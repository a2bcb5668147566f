#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/model/service.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <google/protobuf/repeated_ptr_field.h>
#include <membership.pb.h>

#include <cstdint>
#include <string>

namespace crowlink::internal
{

using name_list = google::protobuf::RepeatedPtrField<std::string>;

// Returns the index of a name in a message's list and appends the name if it is
// missing.
std::uint32_t index_of(name_list& names, const std::string& name);

// Writes a record. One whose end was announced is reduced to its identity and
// version.
void write_member(const upstream_record& record, name_list& places,
                  wire::member& out);

// Reads a record. The error names the invalid field and the violated rule.
result<upstream_record> read_member(const wire::member& in,
                                    const name_list& places);

void write_share(const address_share& share, wire::shared_address& out);
result<address_share> read_share(const wire::shared_address& in);

void write_service(const service& declared, wire::service_declaration& out);
result<service> read_service(const wire::service_declaration& in);

// The hash of a record's content without its sequence; zero for a gone one.
std::uint64_t content_hash(const upstream_record& record, bool drained);

// The bytes that a declaration takes in a message.
std::size_t encoded_size(const service& declared);

// The hash of a declaration's content, never zero.
std::uint64_t content_hash(const service& declared);

} // namespace crowlink::internal
