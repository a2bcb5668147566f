#include "crowlink/forwarding/forwarding_table.hpp"

#include "crowlink/model/service_view.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

// The look-up hashes once for each member: the hash must be inlined.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace crowlink
{

namespace
{

// The first members are offered without asking whether they are excluded: the
// answer would be mispredicted too often.
constexpr std::size_t always_offered = 16;

// A number in (0, 1] that is uniform over flows and members. It never is zero,
// since its logarithm is taken.
double uniform(std::uint64_t seed, std::uint64_t flow_hash)
{
    constexpr int unused_bits = 11;
    constexpr double unit = 0x1p-53;
    const std::uint64_t hash =
        XXH3_64bits_withSeed(&flow_hash, sizeof flow_hash, seed);
    return static_cast<double>((hash >> unused_bits) + 1) * unit;
}

// The members of least cost, cheapest first. A cost and the index of its member
// are one number: the order of doubles that are not negative is that of their
// bits, whose low ones give way to the index. Keeping the order then takes no
// branch that a processor could mispredict.
class cheapest
{
public:
    cheapest() { m_entries.fill(UINT64_MAX); }

    void offer(std::size_t member, double cost)
    {
        std::uint64_t entry = (bits(cost) & ~index_mask) | member;
        // Written out, so that the places stay in registers.
        static_assert(candidate_chain::capacity == 4,
                      "one exchange is needed for each place of a chain");
        exchange(m_entries[0], entry);
        exchange(m_entries[1], entry);
        exchange(m_entries[2], entry);
        exchange(m_entries[3], entry);
    }

    // Whether a member of at least this cost has no place.
    bool excludes(double least) const { return bits(least) > m_entries[3]; }

    // The members in the places; those beyond the number of members offered
    // mean nothing.
    std::array<std::uint16_t, candidate_chain::capacity> members() const
    {
        return {index(m_entries[0]), index(m_entries[1]), index(m_entries[2]),
                index(m_entries[3])};
    }

private:
    static constexpr std::uint64_t index_mask =
        forwarding_table::member_limit - 1;

    static std::uint64_t bits(double cost)
    {
        return std::bit_cast<std::uint64_t>(cost);
    }

    static std::uint16_t index(std::uint64_t entry)
    {
        return static_cast<std::uint16_t>(entry & index_mask);
    }

    // Puts the better one of the two into the place. A condition would become
    // a branch, which every second member mispredicts.
    static void exchange(std::uint64_t& place, std::uint64_t& entry)
    {
        const std::uint64_t better = -std::uint64_t{entry < place};
        const std::uint64_t difference = (entry ^ place) & better;
        place ^= difference;
        entry ^= difference;
    }

    std::array<std::uint64_t, candidate_chain::capacity> m_entries{};
};

std::uint64_t digest_of(const upstream_record& member)
{
    const std::uint64_t name =
        combine_hash(stable_hash(member.id.value()), member.started.value());
    const std::uint64_t agent =
        combine_hash(stable_hash(member.agent.to_string()), member.weight);
    return combine_hash(name, agent);
}

} // namespace

std::shared_ptr<const forwarding_table>
forwarding_table::build(const service_view& view)
{
    const std::shared_ptr<forwarding_table> table(new forwarding_table);
    table->m_service = view.declared.id;
    table->m_length = std::clamp<std::size_t>(view.declared.sharing.candidates,
                                              1, candidate_chain::capacity);
    table->m_digest = combine_hash(view.declared.id.value(), table->m_length);
    const auto is_ready = [](const upstream_record& record)
    {
        return record.state == upstream_state::ready;
    };
    table->m_members.reserve(static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(), is_ready)));
    for (const upstream_record& record : view.members)
    {
        if (is_ready(record) && table->size() < member_limit)
        {
            table->add(record);
        }
    }
    return table;
}

void forwarding_table::add(const upstream_record& record)
{
    member added;
    // Without the incarnation: an upstream that starts anew gets its flows
    // back.
    added.seed = stable_hash(record.id.value());
    added.inverse_weight = 1.0 / std::max(record.weight, 1U);
    added.target = candidate{record.agent, tag_of(record.id, record.started)};
    m_members.push_back(added);
    const double first_weight = m_members.front().inverse_weight;
    m_equal_weights = m_equal_weights && added.inverse_weight == first_weight;
    m_digest = combine_hash(m_digest, digest_of(record));
}

member_order forwarding_table::order(std::uint64_t flow_hash) const
{
    cheapest best;
    for (std::size_t i = 0; i < m_members.size(); ++i)
    {
        const double drawn = uniform(m_members[i].seed, flow_hash);
        const double inverse_weight = m_members[i].inverse_weight;
        // Since 1 - u <= -ln(u), this is at most the cost -ln(u)/w; among
        // equal weights it gives the same order.
        const double bound = (1.0 - drawn) * inverse_weight;
        if (i >= always_offered && best.excludes(bound))
        {
            continue;
        }
        best.offer(i,
                   m_equal_weights ? bound : -std::log(drawn) * inverse_weight);
    }
    member_order found;
    found.size =
        static_cast<std::uint8_t>(std::min(m_length, m_members.size()));
    found.members = best.members();
    return found;
}

candidate_chain forwarding_table::chain_of(const member_order& found) const
{
    candidate_chain chain;
    for (std::size_t place = 0; place < found.size; ++place)
    {
        chain.push_back(m_members[found.members[place]].target);
    }
    return chain;
}

std::size_t forwarding_table::memory() const
{
    const bool in_place = m_members.capacity() <= members_in_place;
    const std::size_t outside = in_place ? 0 : m_members.capacity();
    return sizeof *this + outside * sizeof(member);
}

} // namespace crowlink
