#pragma once

#include "crowlink/base/shared_text.hpp"
#include "crowlink/model/system_document.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <utility>

namespace crowlink::internal
{

// The latest documents that were read to check them before they were proposed,
// so that the host that checked one need not read it again once it is
// committed. May be used by several threads.
class known_documents
{
public:
    using document_pointer = std::shared_ptr<const system_document>;

    void add(shared_text text, document_pointer document)
    {
        const std::lock_guard lock(m_mutex);
        if (m_known.size() == most_known)
        {
            m_known.pop_front();
        }
        m_known.emplace_back(std::move(text), std::move(document));
    }

    // Takes out the document of this text and those that were added before it;
    // null if it is not known.
    document_pointer take(const shared_text& text)
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t at = 0; at < m_known.size(); ++at)
        {
            if (m_known[at].first == text)
            {
                document_pointer found = std::move(m_known[at].second);
                m_known.erase(m_known.begin(),
                              m_known.begin() +
                                  static_cast<std::ptrdiff_t>(at + 1));
                return found;
            }
        }
        return nullptr;
    }

private:
    // Each takes the memory of a whole document.
    static constexpr std::size_t most_known = 2;

    std::mutex m_mutex;
    std::deque<std::pair<shared_text, document_pointer>> m_known;
};

} // namespace crowlink::internal
