#include "run_arms.hpp"

#include "crowlink_policy.hpp"
#include "global_policy.hpp"
#include "list_policy.hpp"
#include "simulation.hpp"

#include <memory>
#include <tbb/parallel_for.h>
#include <tbb/task_arena.h>

namespace crowlink::placement
{

namespace
{

// Runs share the machine with whatever else it does.
constexpr int most_threads = 4;

std::unique_ptr<simulation::policy> make_policy(simulation& world)
{
    switch (world.mode())
    {
    case arm::naive:
    case arm::rendezvous:
        return std::make_unique<list_policy>(world);
    case arm::omniscient:
    case arm::reported_load:
        return std::make_unique<global_policy>(world);
    default:
        return std::make_unique<crowlink_policy>(world);
    }
}

} // namespace

arm_report run_arm(const experiment& settings, arm mode)
{
    simulation world(settings, mode);
    const auto policy = make_policy(world);
    return world.run(*policy);
}

std::vector<arm_report> run_arms(const experiment& settings)
{
    std::vector<arm_report> reports(settings.arms.size());
    tbb::task_arena arena(most_threads);
    arena.execute(
        [&]
        {
            tbb::parallel_for(std::size_t{0}, settings.arms.size(),
                              [&](std::size_t index) {
                                  reports[index] =
                                      run_arm(settings, settings.arms[index]);
                              });
        });
    return reports;
}

} // namespace crowlink::placement
