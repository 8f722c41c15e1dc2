#pragma once

#include <memory>

#include "gateway/target.h"

namespace Lovageloft
{

/// Targets with a single engine, "e" of the service "s", which runs version 1 of the model "m".
inline std::shared_ptr<TargetMap> oneEngine()
{
    auto targets = std::make_shared<TargetMap>();
    Target engine;
    engine.id = "e";
    engine.service = "s";
    engine.models = {{"m", 1}};
    targets->emplace(engine.id, engine);
    return targets;
}

} // namespace Lovageloft
