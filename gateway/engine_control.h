#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/order_scheduler.h"
#include "drivers/http_message.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// One engine's report of itself as orders need it.
struct EngineReport
{
    std::int64_t ordersAccepted = 0; ///< Counts up; a restart clears it.
    bool isBusy = false; ///< An order is being carried out.
    std::vector<ServedModel> models;
};

/// How an engine is asked and ordered. A strategy that writes and reads calls; it sends nothing.
class EngineControlFormat
{
public:
    virtual ~EngineControlFormat() = default;

    virtual std::string reportPath() const = 0;
    virtual std::optional<EngineReport> parseReport(std::string_view body) const = 0;

    virtual std::string orderPath() const = 0;

    /// `precondition`: the order holds only while the engine has accepted that many.
    virtual std::string writeOrder(const Order &order, std::string_view holder, std::int64_t precondition) const = 0;
    virtual HttpField expectedTargetField(std::string_view targetId) const = 0;
    virtual OrderOutcome outcomeOf(int status) const = 0;

    /// The newest changes of a cache, and the field by which the answer waits for some.
    virtual std::string cacheEventsPath() const = 0;
    virtual HttpField longPollField(Duration time) const = 0;
};

} // namespace Lovageloft
