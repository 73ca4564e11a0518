#ifndef HAWTHORNSPUR_CORE_MODELS_MODEL_STEP_HPP
#define HAWTHORNSPUR_CORE_MODELS_MODEL_STEP_HPP

#include <cstddef>
#include <cstdint>
#include <numeric>

namespace hawthornspur::core::models
{

/// Makes a step of a model from three random numbers. The kinds occur in the
/// proportion of the step's weights.
template <class Step>
Step make_step(std::uint32_t kind, std::uint32_t a, std::uint32_t b)
{
    using kind_type = decltype(Step::m_kind);
    auto const& weights = Step::weights;
    static_assert(weights.size() == static_cast<std::size_t>(kind_type::count));
    auto rest = kind % std::accumulate(weights.begin(), weights.end(),
                                       std::uint32_t{0});
    std::uint32_t index = 0;
    while (rest >= weights[index])
    {
        rest -= weights[index];
        ++index;
    }
    return {static_cast<kind_type>(index), a, b};
}

} // namespace hawthornspur::core::models

#endif
