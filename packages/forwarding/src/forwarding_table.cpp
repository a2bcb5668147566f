#include "crowlink/forwarding/forwarding_table.hpp"

#include "crowlink/model/service_view.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

// A look-up computes one hash for each member, so the hash must be inlined.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace crowlink
{

namespace
{

// The first members are inserted without the check whether they are excluded,
// since the processor would mispredict that branch too often.
constexpr std::size_t unchecked_members = 16;

// A number in (0, 1] that is uniform over flows and members. Zero is excluded,
// since the logarithm is taken.
double uniform(std::uint64_t seed, std::uint64_t flow_hash)
{
    constexpr int unused_bits = 11;
    constexpr double unit = 0x1p-53;
    const std::uint64_t hash =
        XXH3_64bits_withSeed(&flow_hash, sizeof flow_hash, seed);
    return static_cast<double>((hash >> unused_bits) + 1) * unit;
}

// The members of lowest cost in ascending order. A cost and the index of its
// member are packed into one integer: non-negative doubles compare like their
// bit patterns, and the index replaces the low bits. Keeping the order then
// needs no branch that a processor could mispredict.
class lowest_costs
{
public:
    lowest_costs() { m_entries.fill(UINT64_MAX); }

    void insert(std::size_t member, double cost)
    {
        std::uint64_t entry = (bits(cost) & ~index_mask) | member;
        // Unrolled, so that the entries stay in registers.
        static_assert(candidate_chain::capacity == 4,
                      "one exchange is needed for each place of a chain");
        exchange(m_entries[0], entry);
        exchange(m_entries[1], entry);
        exchange(m_entries[2], entry);
        exchange(m_entries[3], entry);
    }

    // Whether a member of at least this cost is not among the lowest.
    bool excludes(double cost) const { return bits(cost) > m_entries[3]; }

    // The indices of the members; values beyond the number of inserted members
    // are meaningless.
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

    // Stores the lower of the two values in `slot` and the other one in
    // `entry`. A condition would become a branch, which every second member
    // mispredicts.
    static void exchange(std::uint64_t& slot, std::uint64_t& entry)
    {
        const std::uint64_t mask = -std::uint64_t{entry < slot};
        const std::uint64_t difference = (entry ^ slot) & mask;
        slot ^= difference;
        entry ^= difference;
    }

    std::array<std::uint64_t, candidate_chain::capacity> m_entries{};
};

std::uint64_t digest_of(const upstream_record& member)
{
    const std::uint64_t identity =
        combine_hash(stable_hash(member.id.value()), member.started.value());
    const std::uint64_t agent =
        combine_hash(stable_hash(member.agent.to_string()), member.weight);
    return combine_hash(identity, agent);
}

} // namespace

std::shared_ptr<const forwarding_table>
forwarding_table::build(const service_view& view)
{
    const std::shared_ptr<forwarding_table> table(new forwarding_table);
    table->m_service = view.declared.id;
    table->m_chain_length = std::clamp<std::size_t>(
        view.declared.sharing.candidates, 1, candidate_chain::capacity);
    table->m_digest =
        combine_hash(view.declared.id.value(), table->m_chain_length);
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
    // The seed excludes the incarnation, so that a restarted upstream keeps its
    // flows.
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
    lowest_costs lowest;
    for (std::size_t i = 0; i < m_members.size(); ++i)
    {
        const double random_value = uniform(m_members[i].seed, flow_hash);
        const double inverse_weight = m_members[i].inverse_weight;
        // Since 1 - u <= -ln(u), this is a lower bound of the cost -ln(u)/w;
        // with equal weights it yields the same order.
        const double bound = (1.0 - random_value) * inverse_weight;
        if (i >= unchecked_members && lowest.excludes(bound))
        {
            continue;
        }
        lowest.insert(i, m_equal_weights
                             ? bound
                             : -std::log(random_value) * inverse_weight);
    }
    member_order selected;
    selected.size =
        static_cast<std::uint8_t>(std::min(m_chain_length, m_members.size()));
    selected.members = lowest.members();
    return selected;
}

candidate_chain forwarding_table::chain_of(const member_order& selected) const
{
    candidate_chain chain;
    for (std::size_t index = 0; index < selected.size; ++index)
    {
        chain.push_back(m_members[selected.members[index]].target);
    }
    return chain;
}

std::size_t forwarding_table::memory() const
{
    const bool is_inline = m_members.capacity() <= inline_members;
    const std::size_t heap_members = is_inline ? 0 : m_members.capacity();
    return sizeof *this + heap_members * sizeof(member);
}

} // namespace crowlink
