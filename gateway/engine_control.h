#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/order_scheduler.h"
#include "drivers/http_message.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// The parts of an engine's status report that orders need.
struct EngineReport
{
    std::int64_t ordersAccepted = 0; ///< Number of accepted orders since the engine started.
    bool isBusy = false; ///< An order is being executed.
    std::vector<ServedModel> models;
};

/// Strategy for the wire format of status reports and orders of engines, and of the calls to cache stores. It formats and parses calls, but does no I/O.
class EngineControlFormat
{
public:
    virtual ~EngineControlFormat() = default;

    virtual std::string reportPath() const = 0;

    /// Returns nothing if the report is invalid.
    virtual std::optional<EngineReport> parseReport(std::string_view body) const = 0;

    virtual std::string orderPath() const = 0;

    /// `holder`: name of the host that gives the order. `precondition`: the engine must reject the order unless it has accepted exactly that many orders
    /// before.
    virtual std::string writeOrder(const Order &order, std::string_view holder, std::int64_t precondition) const = 0;

    /// Header field that makes any target but the given one reject the call.
    virtual HttpField expectedTargetField(std::string_view targetId) const = 0;

    /// `status`: HTTP status of the response to an order.
    virtual OrderOutcome outcomeOf(int status) const = 0;

    /// Path of a cache store's newest changes.
    virtual std::string cacheEventsPath() const = 0;

    /// Header field that makes that response wait for a change, at most for `time`.
    virtual HttpField longPollField(Duration time) const = 0;
};

} // namespace Lovageloft
