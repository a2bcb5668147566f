#include "heap_use.hpp"
#include "slopes.hpp"
#include "stopwatch.hpp"

#include "crowlink/replication.hpp"

#include <chrono>
#include <deque>
#include <filesystem>
#include <fmt/format.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <variant>

namespace crowlink::capacity
{

namespace
{

using namespace crowlink::replication;
namespace fs = std::filesystem;

template <class Value>
Value must(result<Value> value)
{
    if (!value)
    {
        throw std::runtime_error(to_string(value.error()));
    }
    return std::move(*value);
}

// A folder below the current one that goes away with its object.
class scratch_folder
{
public:
    scratch_folder() : m_path(fmt::format("capacity-{}.tmp", getpid()))
    {
        fs::create_directories(m_path);
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder()
    {
        std::error_code ignored;
        fs::remove_all(m_path, ignored);
    }

    fs::path voter(std::size_t index) const
    {
        return m_path / fmt::format("voter-{}", index);
    }

    // The bytes of all files of one voter.
    double bytes(std::size_t index) const
    {
        double total = 0.0;
        for (const auto& entry : fs::directory_iterator(voter(index)))
        {
            total += static_cast<double>(entry.file_size());
        }
        return total;
    }

private:
    fs::path m_path;
};

// One voter: the real core, log and files.
class voter
{
public:
    voter(const fs::path& folder, std::size_t index, std::size_t count)
        : m_files(must(posix_file_system::open(folder)))
        , m_storage(must(log_storage<posix_file_system>::open(
              m_files, disk_id(index + 1))))
        , m_core(settings_of(index, count), m_storage.take_restored(), {},
                 seeded_random(index + 1))
    {
    }

    static host_id name(std::size_t index)
    {
        return host_id(fmt::format("control-{}", index));
    }

    replicated_document& core() { return m_core; }

    // Writes, synced.
    void store(const persist_request& request)
    {
        must_hold(m_storage.write(request));
    }

private:
    static void must_hold(const result<void>& done)
    {
        if (!done)
        {
            throw std::runtime_error(to_string(done.error()));
        }
    }

    static replica_settings settings_of(std::size_t index, std::size_t count)
    {
        replica_settings settings;
        settings.self = name(index);
        for (std::size_t other = 0; other < count; ++other)
        {
            settings.founding_voters.push_back(name(other));
            if (other != index)
            {
                settings.peers.push_back(name(other));
            }
        }
        return settings;
    }

    posix_file_system m_files;
    log_storage<posix_file_system> m_storage;
    replicated_document m_core;
};

// Three voters whose messages pass in memory; their files are synced one after
// the other, since they share this machine's disk.
class voter_group
{
public:
    static constexpr std::size_t size = 3;

    explicit voter_group(const scratch_folder& folder)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            m_voters.push_back(
                std::make_unique<voter>(folder.voter(index), index, size));
        }
        for (std::size_t index = 0; index < size; ++index)
        {
            take(index, m_voters[index]->core().start());
        }
        constexpr int most_ticks = 2000;
        for (int ticks = 0; leader() == size; ++ticks)
        {
            if (ticks == most_ticks)
            {
                throw std::runtime_error("no leader was elected");
            }
            tick_all();
        }
    }

    // Makes one change durable on a majority and answers it.
    void change(const std::string& document)
    {
        const std::size_t first = leader();
        document_change wish;
        wish.base = m_voters[first]->core().store().current_version();
        wish.operation = operation_id(fmt::format("change-{}", ++m_changes));
        wish.operator_name = "bench";
        wish.document = document;
        m_answered = false;
        take(first, m_voters[first]->core().handle(
                        m_now, propose_change{m_changes, wish}));
        drain();
        for (int ticks = 0; !m_answered; ++ticks)
        {
            if (ticks == 1000)
            {
                throw std::runtime_error("a change was not answered");
            }
            tick_all();
        }
    }

    std::uint64_t sent_bytes() const { return m_sent_bytes; }

private:
    std::size_t leader() const
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            if (m_voters[index]->core().can_read(m_now))
            {
                return index;
            }
        }
        return size;
    }

    void tick_all()
    {
        m_now += std::chrono::milliseconds(20);
        for (std::size_t index = 0; index < size; ++index)
        {
            take(index, m_voters[index]->core().handle(m_now, tick{}));
        }
        drain();
    }

    void take(std::size_t from, std::vector<document_effect> effects)
    {
        for (document_effect& effect : effects)
        {
            if (const auto* sent = std::get_if<send_message>(&effect))
            {
                m_sent_bytes += encode_message(sent->message).size();
                m_messages.push_back(sent->message);
            }
            else if (const auto* wanted = std::get_if<persist>(&effect))
            {
                m_voters[from]->store(wanted->request);
                m_done.push_back({from, wanted->request.sequence});
            }
            else if (std::holds_alternative<change_answered>(effect))
            {
                m_answered = true;
            }
        }
    }

    void drain()
    {
        while (!m_messages.empty() || !m_done.empty())
        {
            if (!m_done.empty())
            {
                const auto done = m_done.front();
                m_done.pop_front();
                take(done.voter, m_voters[done.voter]->core().handle(
                                     m_now, storage_done{done.sequence}));
                continue;
            }
            const replica_message message = m_messages.front();
            m_messages.pop_front();
            const std::size_t to = index_of(message.to);
            take(to,
                 m_voters[to]->core().handle(m_now, message_received{message}));
        }
    }

    static std::size_t index_of(const host_id& host)
    {
        std::size_t index = 0;
        while (voter::name(index) != host)
        {
            ++index;
        }
        return index;
    }

    struct written
    {
        std::size_t voter = 0;
        std::uint64_t sequence = 0;
    };

    std::vector<std::unique_ptr<voter>> m_voters;
    std::deque<replica_message> m_messages;
    std::deque<written> m_done;
    time_point m_now{};
    std::uint64_t m_changes = 0;
    std::uint64_t m_sent_bytes = 0;
    bool m_answered = false;
};

constexpr std::size_t changes_a_point = 40;

std::vector<measured_slope> over_document(const effort& limit)
{
    measured_slope time{"voter_change_ns",
                        "voter",
                        "ns a change, three voters, synced",
                        "bytes of the document",
                        {}};
    measured_slope bytes{"voter_log_bytes",
                         "voter",
                         "bytes a change on disk",
                         "bytes of the document",
                         {}};
    measured_slope sent{"voter_sent_bytes",
                        "voter",
                        "bytes a change between three voters",
                        "bytes of the document",
                        {}};
    for (const std::size_t size :
         limit.sizes({1024, 4096, 16384, 65536, 262144, 1048576}))
    {
        const scratch_folder folder;
        voter_group group(folder);
        const std::string document(size, 'x');
        group.change(document);
        const std::size_t count = limit.is_short ? 2 : changes_a_point;
        // So few that no snapshot takes the place of the log meanwhile.
        constexpr std::size_t few = 4;
        const double disk_before = folder.bytes(0);
        for (std::size_t done = 0; done < few; ++done)
        {
            group.change(document);
        }
        const double grown = folder.bytes(0) - disk_before;
        const std::uint64_t sent_before = group.sent_bytes();
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t done = 0; done < count; ++done)
        {
            group.change(document);
        }
        const std::chrono::duration<double, std::nano> passed =
            std::chrono::steady_clock::now() - begin;
        const auto at = static_cast<double>(size);
        const auto changes = static_cast<double>(count);
        time.points.push_back({at, passed.count() / changes});
        bytes.points.push_back({at, grown / static_cast<double>(few)});
        sent.points.push_back(
            {at,
             static_cast<double>(group.sent_bytes() - sent_before) / changes});
    }
    return {time, bytes, sent};
}

// From opening a voter's folder to having applied all that it holds.
std::vector<measured_slope> over_log(const effort& limit)
{
    measured_slope time{"voter_restart_ns",
                        "voter",
                        "ns to open and apply",
                        "changes in the log",
                        {}};
    measured_slope bytes{"voter_folder_bytes",
                         "voter",
                         "bytes on disk",
                         "changes in the log",
                         {}};
    constexpr std::size_t document_bytes = 4096;
    // A snapshot is taken after 1,024 entries, so a log is never longer.
    for (const std::size_t changes : limit.sizes({16, 64, 256, 1000}))
    {
        const scratch_folder folder;
        {
            voter_group group(folder);
            for (std::size_t done = 0; done < changes; ++done)
            {
                group.change(std::string(document_bytes, 'x'));
            }
        }
        const auto open = [&folder]
        {
            voter restarted(folder.voter(0), 0, voter_group::size);
            keep(restarted.core().start());
        };
        const auto at = static_cast<double>(changes);
        time.points.push_back({at, ns_a_step(limit, 1, open)});
        bytes.points.push_back({at, folder.bytes(0)});
    }
    return {time, bytes};
}

} // namespace

std::vector<measured_slope> voter_slopes(const effort& limit)
{
    std::vector<measured_slope> all = over_document(limit);
    for (const measured_slope& slope : over_log(limit))
    {
        all.push_back(slope);
    }
    return all;
}

} // namespace crowlink::capacity
