#include "crowlink/forwarding/forwarding_table.hpp"

#include "crowlink/model/service_view.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

// The look-up hashes once for each member: the hash must be inlined.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace crowlink
{

namespace
{

constexpr double infinite = std::numeric_limits<double>::infinity();

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

// The cost of members that weigh the same: any falling function of the uniform
// number gives the rendezvous order.
class equal_cost
{
public:
    double bound(std::size_t, double drawn) const { return 1.0 - drawn; }
    double exact(std::size_t, double drawn) const { return 1.0 - drawn; }
};

// The cost -ln(u)/w of weighted rendezvous. Since 1 - u <= -ln(u), a member
// whose bound is too high needs no logarithm.
class weighted_cost
{
public:
    explicit weighted_cost(const std::vector<double>& inverse_weights)
        : m_inverse_weights(inverse_weights)
    {
    }

    double bound(std::size_t member, double drawn) const
    {
        return (1.0 - drawn) * m_inverse_weights[member];
    }

    double exact(std::size_t member, double drawn) const
    {
        return -std::log(drawn) * m_inverse_weights[member];
    }

private:
    const std::vector<double>& m_inverse_weights;
};

// The members of least cost, cheapest first. Members must be offered in order:
// of two of equal cost the one that was offered first is the better one.
class cheapest
{
public:
    explicit cheapest(std::size_t limit) : m_limit(limit)
    {
        m_costs.fill(infinite);
    }

    // What a member must undercut to be taken.
    double worst() const { return m_costs[m_limit - 1]; }

    void offer(std::size_t member, double cost)
    {
        if (!(cost < worst()))
        {
            return;
        }
        std::size_t place = m_limit - 1;
        while (place > 0 && cost < m_costs[place - 1])
        {
            m_costs[place] = m_costs[place - 1];
            m_members[place] = m_members[place - 1];
            --place;
        }
        m_costs[place] = cost;
        m_members[place] = member;
    }

    // The member in a place; only the first places up to the limit and up to
    // the number of members offered are filled.
    std::size_t operator[](std::size_t place) const { return m_members[place]; }

private:
    std::size_t m_limit;
    std::array<double, candidate_chain::capacity> m_costs{};
    std::array<std::size_t, candidate_chain::capacity> m_members{};
};

std::uint64_t digest_of(const upstream_record& member)
{
    const std::uint64_t name =
        combine_hash(stable_hash(member.id.value()), member.started.value());
    const std::uint64_t agent =
        combine_hash(stable_hash(member.agent.to_string()), member.weight);
    return combine_hash(name, agent);
}

template <class Value>
std::size_t bytes_of(const std::vector<Value>& values)
{
    return values.capacity() * sizeof(Value);
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
    const auto ready =
        std::count_if(view.members.begin(), view.members.end(),
                      [](const upstream_record& member)
                      { return member.state == upstream_state::ready; });
    table->m_members.reserve(static_cast<std::size_t>(ready));
    table->m_seeds.reserve(static_cast<std::size_t>(ready));
    table->m_inverse_weights.reserve(static_cast<std::size_t>(ready));
    for (const upstream_record& member : view.members)
    {
        if (member.state == upstream_state::ready)
        {
            table->add(member);
        }
    }
    table->finish();
    return table;
}

void forwarding_table::add(const upstream_record& member)
{
    m_members.push_back(
        candidate{member.agent, tag_of(member.id, member.started)});
    // Without the incarnation: an upstream that starts anew gets its flows
    // back.
    m_seeds.push_back(stable_hash(member.id.value()));
    m_inverse_weights.push_back(1.0 / std::max(member.weight, 1U));
    m_digest = combine_hash(m_digest, digest_of(member));
}

void forwarding_table::finish()
{
    const auto differs = [this](double value)
    {
        return value != m_inverse_weights.front();
    };
    if (std::none_of(m_inverse_weights.begin(), m_inverse_weights.end(),
                     differs))
    {
        m_inverse_weights = std::vector<double>();
    }
}

template <class Cost>
candidate_chain forwarding_table::choose(std::uint64_t flow_hash,
                                         const Cost& cost) const
{
    const std::size_t length = std::min(m_length, m_members.size());
    cheapest best(length);
    for (std::size_t i = 0; i < m_seeds.size(); ++i)
    {
        const double drawn = uniform(m_seeds[i], flow_hash);
        if (cost.bound(i, drawn) < best.worst())
        {
            best.offer(i, cost.exact(i, drawn));
        }
    }
    candidate_chain chain;
    for (std::size_t place = 0; place < length; ++place)
    {
        chain.push_back(m_members[best[place]]);
    }
    return chain;
}

candidate_chain forwarding_table::chain(std::uint64_t flow_hash) const
{
    if (m_members.empty())
    {
        return {};
    }
    if (m_inverse_weights.empty())
    {
        return choose(flow_hash, equal_cost());
    }
    return choose(flow_hash, weighted_cost(m_inverse_weights));
}

std::size_t forwarding_table::memory() const
{
    return sizeof *this + bytes_of(m_members) + bytes_of(m_seeds) +
           bytes_of(m_inverse_weights);
}

} // namespace crowlink
