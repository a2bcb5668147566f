#pragma once

#include "crowlink/console/operator_backend.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace crowlink::internal
{

// An operator_backend with its type erased, so that the HTTP code is compiled
// once. The functions are those of the concept.
class backend_port
{
public:
    backend_port() = default;
    backend_port(const backend_port&) = delete;
    backend_port& operator=(const backend_port&) = delete;
    virtual ~backend_port() = default;

    virtual result<versioned_document> document() = 0;
    virtual result<versioned_document> document_at(config_version version) = 0;
    virtual result<change_outcome> change(const change_request& request) = 0;
    virtual result<std::vector<history_entry>> history(std::size_t most) = 0;
    virtual result<status_report> status() = 0;
    virtual result<std::vector<member_entry>> members() = 0;
    virtual result<std::vector<member_entry>>
    change_members(const member_change& change) = 0;
    virtual result<void> evacuate(const evacuation_request& order) = 0;
    virtual result<explain_answer> explain(const flow_key& flow) = 0;
    virtual readiness ready() = 0;
    virtual std::string render_metrics() = 0;
};

// Binds a backend, which must outlive it.
template <operator_backend Backend>
class bound_backend final : public backend_port
{
public:
    explicit bound_backend(Backend& backend) : m_backend(backend) {}

    result<versioned_document> document() override
    {
        return m_backend.document();
    }
    result<versioned_document> document_at(config_version version) override
    {
        return m_backend.document_at(version);
    }
    result<change_outcome> change(const change_request& request) override
    {
        return m_backend.change(request);
    }
    result<std::vector<history_entry>> history(std::size_t most) override
    {
        return m_backend.history(most);
    }
    result<status_report> status() override { return m_backend.status(); }
    result<std::vector<member_entry>> members() override
    {
        return m_backend.members();
    }
    result<std::vector<member_entry>>
    change_members(const member_change& change) override
    {
        return m_backend.change_members(change);
    }
    result<void> evacuate(const evacuation_request& order) override
    {
        return m_backend.evacuate(order);
    }
    result<explain_answer> explain(const flow_key& flow) override
    {
        return m_backend.explain(flow);
    }
    readiness ready() override { return m_backend.ready(); }
    std::string render_metrics() override { return m_backend.render_metrics(); }

private:
    Backend& m_backend;
};

} // namespace crowlink::internal
