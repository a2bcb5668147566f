#include "crowlink/membership/document_publication.hpp"

#include "member_codec.hpp"
#include "share_merge.hpp"

#include <utility>

namespace crowlink
{

namespace
{

using declaration_pointer = std::shared_ptr<const declaration>;

std::uint64_t fixed_hash_of(service declared)
{
    declared.shares.clear();
    return internal::content_hash(declared);
}

// Compares the shares of a service, both sorted by address, and notes what
// differs.
class share_comparison
{
public:
    share_comparison(document_publication& out, const declaration& before,
                     declaration& next)
        : m_out(out), m_before(before), m_next(next)
    {
    }

    void run()
    {
        const auto& before = m_before.declared.shares;
        const auto& next = m_next.declared.shares;
        std::size_t old_at = 0;
        for (std::size_t at = 0; at < next.size(); ++at)
        {
            while (old_at < before.size() &&
                   before[old_at].address < next[at].address)
            {
                note(before[old_at++].address);
            }
            if (old_at < before.size() &&
                before[old_at].address == next[at].address)
            {
                compare(old_at++, at);
                continue;
            }
            note(next[at].address);
        }
        for (; old_at < before.size(); ++old_at)
        {
            note(before[old_at].address);
        }
    }

private:
    void note(const endpoint& address)
    {
        m_out.changed_shares.push_back(share_key{m_next.declared.id, address});
    }

    void compare(std::size_t old_at, std::size_t at)
    {
        const address_share& before = m_before.declared.shares[old_at];
        const address_share& next = m_next.declared.shares[at];
        m_next.terms_changed[at] = m_before.terms_changed[old_at];
        if (internal::differs_at_once(before, next))
        {
            note(next.address);
        }
        else if (before.terms != next.terms || before.former != next.former)
        {
            m_next.terms_changed[at] = m_out.version.value();
            m_out.terms_version = m_out.version.value();
        }
    }

    document_publication& m_out;
    const declaration& m_before;
    declaration& m_next;
};

declaration_pointer declaration_of(const document_publication* publication,
                                   service_id service)
{
    if (publication == nullptr)
    {
        return nullptr;
    }
    const auto found = publication->services.find(service);
    return found == publication->services.end() ? nullptr : found->second;
}

declaration_pointer make_declaration(service declared,
                                     const declaration_pointer& before,
                                     document_publication& out)
{
    if (before != nullptr && before->declared == declared)
    {
        return before;
    }
    const auto made = std::make_shared<declaration>();
    made->declared = std::move(declared);
    made->hash = internal::content_hash(made->declared);
    made->bytes = internal::encoded_size(made->declared);
    made->fixed_hash = fixed_hash_of(made->declared);
    made->terms_changed.resize(made->declared.shares.size());
    out.changed.push_back(made->declared.id);
    if (before != nullptr && before->fixed_hash == made->fixed_hash)
    {
        share_comparison(out, *before, *made).run();
    }
    return made;
}

} // namespace

publication_pointer make_publication(config_version version,
                                     const system_document& document,
                                     const document_publication* before,
                                     const std::vector<former_service>& former)
{
    const auto made = std::make_shared<document_publication>();
    made->version = version;
    made->drains = {document.drains.begin(), document.drains.end()};
    if (before != nullptr)
    {
        made->base = before->version;
        made->terms_version = before->terms_version;
    }
    for (service& each : with_shares(document, former))
    {
        const service_id id = each.id;
        made->services[id] = make_declaration(
            std::move(each), declaration_of(before, id), *made);
    }
    if (before == nullptr)
    {
        return made;
    }
    for (const auto& each : before->services)
    {
        if (made->services.count(each.first) == 0)
        {
            made->removed.push_back(each.first);
        }
    }
    return made;
}

} // namespace crowlink
