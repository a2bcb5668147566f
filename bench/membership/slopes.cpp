#include "slopes.hpp"

#include "sample_data.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

namespace crowlink::bench
{

namespace
{

const time_point start{std::chrono::hours(1)};
const duration tenth = std::chrono::milliseconds(100);
constexpr std::size_t services_per_target = 19;
constexpr std::size_t target_places = 12;

std::size_t services_for(std::size_t upstreams)
{
    return std::max<std::size_t>(1, upstreams / services_per_target);
}

wire::membership_message announcement(const upstream_record& record)
{
    announcer_settings settings;
    settings.observers.resize(1);
    announcer core(settings, record, 1, start);
    return core.change(start, upstream_state::ready, 100).at(0).message;
}

wire::membership_message renewal(const wire::membership_message& announced)
{
    wire::membership_message out;
    const auto& record = announced.announce().record();
    auto& body = *out.mutable_renew();
    body.set_service(record.service());
    body.set_id(record.id());
    body.set_started(record.started());
    body.set_sequence(record.sequence());
    return out;
}

// The home of many leases: processor time to take announcements and renewals
// off the wire and answer them, to judge, and memory.
void observer_slopes(const std::vector<std::size_t>& sizes,
                     std::vector<slope>& out)
{
    slope renew{"observer: renewals of all leases", "leases", "s", {}, {}};
    slope judge{"observer: one judgement", "records", "s", {}, {}};
    slope memory{"observer: memory", "records", "bytes", {}, {}};
    for (const std::size_t size : sizes)
    {
        std::vector<std::string> renewals;
        renewals.reserve(size);
        const double before = heap_bytes();
        observer_settings settings;
        settings.self.id = host_id("control-0");
        observer core(settings, start);
        double message_bytes = 0;
        for (std::size_t index = 0; index < size; ++index)
        {
            const auto message = announcement(
                sample_record(index, services_for(size), target_places));
            core.handle(start, host_id("agent"), message);
            renewals.push_back(renewal(message).SerializeAsString());
            message_bytes +=
                static_cast<double>(renewals.back().capacity() + 1);
        }
        core.tick(start);
        memory.add(static_cast<double>(size),
                   heap_bytes() - before - message_bytes);
        constexpr int rounds = 5;
        const processor_time renewing;
        for (int round = 0; round < rounds; ++round)
        {
            for (const std::string& bytes : renewals)
            {
                wire::membership_message message;
                message.ParseFromString(bytes);
                const auto answers =
                    core.handle(start + tenth, host_id("agent"), message);
                const std::string answer =
                    answers.sends.at(0).message.SerializeAsString();
            }
        }
        renew.add(static_cast<double>(size), renewing.seconds() / rounds);
        constexpr int ticks = 20;
        const processor_time judging;
        for (int tick = 1; tick <= ticks; ++tick)
        {
            core.tick(start + tick * settings.detection_interval);
        }
        judge.add(static_cast<double>(size), judging.seconds() / ticks);
    }
    out.insert(out.end(), {renew, judge, memory});
}

// A publisher and one node that wants everything.
struct pair_of_cores
{
    explicit pair_of_cores(std::uint32_t bytes_a_second)
        : sender(settings(bytes_a_second), 1), node(wants(), 2, start)
    {
        sender.set_ready(true);
    }

    static publisher_settings settings(std::uint32_t bytes_a_second)
    {
        publisher_settings out;
        out.bytes_per_second = bytes_a_second;
        out.burst_bytes = std::max(out.burst_bytes, bytes_a_second / 10);
        return out;
    }

    static subscriber_settings wants()
    {
        subscriber_settings out;
        out.wants.all_services = true;
        out.self = host_id("node");
        out.publishers.resize(1);
        return out;
    }

    void step()
    {
        now += tenth;
        for (const auto& each : node.tick(now).sends)
        {
            sender.handle(now, host_id("node"), each.message);
        }
        for (const auto& each : sender.tick(now))
        {
            const std::string bytes = each.message.SerializeAsString();
            const processor_time taking;
            wire::membership_message message;
            message.ParseFromString(bytes);
            views += node.handle(now, host_id(), message).changed.size();
            node_seconds += taking.seconds();
        }
    }

    double run_until_complete(config_version version)
    {
        const time_point began = now;
        while (node.applied_version() != version)
        {
            step();
        }
        return std::chrono::duration<double>(now - began).count();
    }

    publisher sender;
    subscriber node;
    time_point now = start;
    double node_seconds = 0;
    std::size_t views = 0;
};

// A node that starts from nothing.
void node_slopes(const std::vector<std::size_t>& sizes, std::vector<slope>& out)
{
    slope bytes{"node: snapshot of everything", "upstreams", "bytes", {}, {}};
    slope seconds{
        "node: processor time of a snapshot", "upstreams", "s", {}, {}};
    slope memory{"node: memory", "upstreams", "bytes", {}, {}};
    slope paced{
        "node: snapshot at 20 KB/s", "upstreams", "simulated s", {}, {}};
    for (const std::size_t size : sizes)
    {
        pair_of_cores pair(20000);
        const std::size_t services = services_for(size);
        pair.sender.document_changed(config_version(1),
                                     sample_document(services, 6));
        for (std::size_t index = 0; index < size; ++index)
        {
            pair.sender.record_changed(
                start, sample_record(index, services, target_places));
        }
        const double before = heap_bytes();
        const double time = pair.run_until_complete(config_version(1));
        const auto number = static_cast<double>(size);
        memory.add(number, heap_bytes() - before);
        paced.add(number, time);
        bytes.add(number, static_cast<double>(pair.node.bytes()));
        seconds.add(number, pair.node_seconds);
    }
    out.insert(out.end(), {bytes, seconds, memory, paced});
}

// A node that knows everything, against changes.
void change_slopes(std::size_t upstreams, const std::vector<std::size_t>& sizes,
                   std::vector<slope>& out)
{
    slope bytes{"node: bytes of changed records", "changes", "bytes", {}, {}};
    slope seconds{
        "node: processor time of changed records", "changes", "s", {}, {}};
    pair_of_cores pair(2000000);
    const std::size_t services = services_for(upstreams);
    pair.sender.document_changed(config_version(1),
                                 sample_document(services, 6));
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        pair.sender.record_changed(
            start, sample_record(index, services, target_places));
    }
    pair.run_until_complete(config_version(1));
    std::uint64_t sequence = 1;
    for (const std::size_t size : sizes)
    {
        ++sequence;
        const auto before = pair.node.bytes();
        pair.node_seconds = 0;
        for (std::size_t index = 0; index < size; ++index)
        {
            auto record =
                sample_record(index % upstreams, services, target_places);
            record.sequence = sequence;
            record.weight = static_cast<std::uint32_t>(100 + sequence);
            pair.sender.record_changed(pair.now, record);
        }
        // Changes that come together share messages, as they do under pacing.
        for (int step = 0; step < 10; ++step)
        {
            pair.step();
        }
        bytes.add(static_cast<double>(size),
                  static_cast<double>(pair.node.bytes() - before));
        seconds.add(static_cast<double>(size), pair.node_seconds);
    }
    out.insert(out.end(), {bytes, seconds});
}

void attach_all(publisher& sender, std::size_t nodes)
{
    wire::membership_message attach;
    attach.mutable_attach_request()->set_all_services(true);
    for (std::size_t index = 0; index < nodes; ++index)
    {
        sender.handle(start, host_id(fmt::format("node-{}", index)), attach);
    }
}

// One publisher against its nodes, which are counted sends: one changed
// service to all of them, and an idle second.
void publisher_slopes(const std::vector<std::size_t>& sizes,
                      std::vector<slope>& out)
{
    slope change{"publisher: one changed service to all", "nodes", "s", {}, {}};
    slope idle{"publisher: an idle second", "nodes", "s", {}, {}};
    slope memory{"publisher: memory", "nodes", "bytes", {}, {}};
    slope bytes{
        "publisher: bytes of one changed service", "nodes", "bytes", {}, {}};
    for (const std::size_t size : sizes)
    {
        publisher_settings settings;
        settings.node_timeout = std::chrono::hours(1);
        publisher sender(settings, 1);
        sender.set_ready(true);
        system_document document = sample_document(20, 6);
        sender.document_changed(config_version(1), document);
        const double before = heap_bytes();
        attach_all(sender, size);
        memory.add(static_cast<double>(size), heap_bytes() - before);
        time_point now = start;
        for (int tick = 0; tick < 100; ++tick)
        {
            now += tenth;
            sender.tick(now);
        }
        const processor_time idling;
        constexpr int idle_ticks = 100;
        for (int tick = 0; tick < idle_ticks; ++tick)
        {
            now += tenth;
            sender.tick(now);
        }
        idle.add(static_cast<double>(size), idling.seconds() / 10);
        constexpr int rounds = 20;
        double sent = 0;
        const processor_time changing;
        for (int round = 0; round < rounds; ++round)
        {
            document.services[3].limits.slots =
                static_cast<std::uint32_t>(round + 5);
            sender.document_changed(
                config_version(static_cast<std::uint64_t>(round + 2)),
                document);
            now += tenth;
            for (const auto& each : sender.tick(now))
            {
                const std::string encoded = each.message.SerializeAsString();
                sent += static_cast<double>(encoded.size() + framing_bytes);
            }
        }
        change.add(static_cast<double>(size), changing.seconds() / rounds);
        bytes.add(static_cast<double>(size), sent / rounds);
    }
    out.insert(out.end(), {change, idle, memory, bytes});
}

// The publisher's work to compare a new version of the document.
void document_slopes(const std::vector<std::size_t>& sizes,
                     std::vector<slope>& out)
{
    slope change{
        "publisher: a new version of the document", "services", "s", {}, {}};
    slope snapshot{
        "node: snapshot of declarations", "services", "bytes", {}, {}};
    for (const std::size_t size : sizes)
    {
        pair_of_cores pair(2000000);
        system_document document = sample_document(size, 1);
        pair.sender.document_changed(config_version(1), document);
        pair.run_until_complete(config_version(1));
        snapshot.add(static_cast<double>(size),
                     static_cast<double>(pair.node.bytes()));
        constexpr std::uint64_t rounds = 10;
        const processor_time changing;
        for (std::uint64_t round = 0; round < rounds; ++round)
        {
            document.services[0].limits.slots =
                static_cast<std::uint32_t>(round + 5);
            pair.sender.document_changed(config_version(round + 2), document);
        }
        change.add(static_cast<double>(size), changing.seconds() / rounds);
    }
    out.insert(out.end(), {change, snapshot});
}

} // namespace

nlohmann::json slope::report() const
{
    const auto count = static_cast<double>(sizes.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index)
    {
        sum_x += sizes[index];
        sum_y += values[index];
        sum_xx += sizes[index] * sizes[index];
        sum_xy += sizes[index] * values[index];
    }
    const double spread = count * sum_xx - sum_x * sum_x;
    const double rise = (count * sum_xy - sum_x * sum_y) / spread;
    const double base = (sum_y - rise * sum_x) / count;
    double error = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index)
    {
        const double line = base + rise * sizes[index];
        error = std::max(error, std::abs(values[index] - line) /
                                    std::abs(values.back()));
    }
    return {{"name", name},     {"against", against},
            {"unit", unit},     {"sizes", sizes},
            {"values", values}, {"slope", rise},
            {"at_zero", base},  {"worst_distance_of_largest", error}};
}

std::vector<slope> measure_slopes(bool short_form)
{
    const std::vector<std::size_t> upstreams =
        short_form ? std::vector<std::size_t>{20, 80, 320}
                   : std::vector<std::size_t>{110, 440, 1760, 7000, 28000};
    const std::vector<std::size_t> nodes =
        short_form ? std::vector<std::size_t>{4, 16, 64}
                   : std::vector<std::size_t>{4, 53, 213, 850, 3400};
    const std::vector<std::size_t> services =
        short_form ? std::vector<std::size_t>{9, 36, 144}
                   : std::vector<std::size_t>{36, 140, 560, 2250, 9000};
    const std::vector<std::size_t> changes =
        short_form ? std::vector<std::size_t>{4, 16, 64}
                   : std::vector<std::size_t>{16, 64, 256, 1024, 4096};
    std::vector<slope> out;
    observer_slopes(upstreams, out);
    node_slopes(upstreams, out);
    change_slopes(upstreams.back(), changes, out);
    publisher_slopes(nodes, out);
    document_slopes(services, out);
    return out;
}

} // namespace crowlink::bench
