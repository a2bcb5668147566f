#include "control/document_thread.hpp"
#include "crowlink/document/document_writer.hpp"

#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace crowlink::internal
{

namespace
{

system_document document_with(std::uint32_t services)
{
    system_document made;
    made.places = {{place_id("p"), region_id("r")}};
    for (std::uint32_t number = 1; number <= services; ++number)
    {
        service declared;
        declared.id = service_id(number);
        declared.name = "service" + std::to_string(number);
        made.services.push_back(declared);
    }
    return made;
}

document_thread::committed_document committed(std::uint64_t version,
                                              const shared_text& text)
{
    return {config_version(version), operation_id("operation"), "operator",
            text};
}

class document_reading : public testing::Test
{
protected:
    document_thread::read_document wait_for_next()
    {
        while (true)
        {
            if (auto next = m_thread.next())
            {
                return std::move(*next);
            }
            std::this_thread::yield();
        }
    }

    wake_event m_wake;
    document_thread m_thread{m_wake};
};

// Guards against a host that falls behind for good in a storm of changes: it
// reads the document that will be in force, not each one before it.
TEST_F(document_reading, skips_documents_that_a_newer_one_overtook)
{
    const shared_text text = write_compact_document(document_with(1));
    document_turns::turn turn = m_thread.turns().wait();
    for (std::uint64_t version = 1; version <= 5; ++version)
    {
        m_thread.read(committed(version, text));
    }
    EXPECT_FALSE(m_thread.next());
    turn.unlock();
    std::vector<std::uint64_t> read;
    do
    {
        read.push_back(wait_for_next().applied.version.value());
    } while (read.back() != 5);
    EXPECT_LE(read.size(), 2U);
}

TEST_F(document_reading, tells_what_differs_from_the_document_read_before)
{
    m_thread.read(committed(3, write_compact_document(document_with(1))));
    EXPECT_EQ(wait_for_next().applied.publication->base, config_version());
    m_thread.read(committed(4, write_compact_document(document_with(2))));
    const auto second = wait_for_next();
    EXPECT_EQ(second.applied.publication->base, config_version(3));
    EXPECT_EQ(second.applied.publication->changed,
              std::vector<service_id>{service_id(2)});
}

TEST_F(document_reading, tells_why_a_document_can_not_be_read)
{
    m_thread.read(committed(3, "{"));
    const auto read = wait_for_next();
    EXPECT_EQ(read.applied.document, nullptr);
    EXPECT_FALSE(read.errors.empty());
    EXPECT_EQ(read.committed.version, config_version(3));
}

TEST_F(document_reading, takes_a_document_that_was_read_to_check_it)
{
    const auto known =
        std::make_shared<const system_document>(document_with(1));
    const std::string text = write_compact_document(*known);
    m_thread.known().add(text, known);
    m_thread.read(committed(3, text));
    EXPECT_EQ(wait_for_next().applied.document, known);
    // It is held no longer than it is waited for.
    m_thread.read(committed(4, text));
    EXPECT_NE(wait_for_next().applied.document, known);
}

// Guards against routes that run on for seconds after they were dropped: the
// reader waited for its turn while one caller after the other took one, and a
// committed document was not in force.
TEST_F(document_reading, comes_before_callers_that_wait)
{
    document_turns& turns = m_thread.turns();
    document_turns::turn taken = turns.wait();
    std::atomic<int> served = 0;
    constexpr int most_callers = 8;
    std::vector<std::thread> callers;
    callers.reserve(most_callers);
    for (int caller = 0; caller < most_callers; ++caller)
    {
        callers.emplace_back(
            [&]
            {
                const document_turns::turn turn = turns.wait();
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                ++served;
            });
    }
    // Long enough for all of them, and then for the reader, to wait.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    m_thread.read(committed(1, write_compact_document(document_with(1))));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    taken.unlock();
    EXPECT_EQ(wait_for_next().committed.version, config_version(1));
    EXPECT_LE(served, 1);
    for (std::thread& each : callers)
    {
        each.join();
    }
    EXPECT_EQ(served, most_callers);
}

TEST(known_documents, forgets_the_oldest)
{
    known_documents known;
    const auto document = std::make_shared<const system_document>();
    known.add("first", document);
    known.add("second", document);
    known.add("third", document);
    EXPECT_EQ(known.take("first"), nullptr);
    EXPECT_EQ(known.take("third"), document);
    EXPECT_EQ(known.take("second"), nullptr);
}

} // namespace

} // namespace crowlink::internal
