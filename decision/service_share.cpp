#include "decision/service_share.h"

namespace Lovageloft
{

namespace
{

// What competes with a lane is another matter this long after it last had work.
constexpr Duration staleAfter = std::chrono::seconds(10);

} // namespace

void ServiceShare::onWaiting(double servedByAll, TimePoint now)
{
    if (isWaiting_) {
        return;
    }
    if (now - emptiedAt_ > staleAfter) {
        own_ = 0;
        all_ = 0;
    }
    isWaiting_ = true;
    lastServed_ = servedByAll;
}

void ServiceShare::onServed(std::int64_t tokens, double servedByAll)
{
    if (!isWaiting_) {
        return;
    }
    advance(servedByAll);
    own_ += static_cast<double>(tokens);
}

void ServiceShare::onEmptied(double servedByAll, TimePoint now)
{
    if (!isWaiting_) {
        return;
    }
    advance(servedByAll);
    isWaiting_ = false;
    emptiedAt_ = now;
}

double ServiceShare::share(double expected, double tokens, double servedByAll, double memory)
{
    advance(servedByAll);
    if (all_ > memory) {
        own_ *= memory / all_;
        all_ = memory;
    }
    return (own_ + expected * tokens) / (all_ + tokens);
}

void ServiceShare::advance(double servedByAll)
{
    if (!isWaiting_) {
        return;
    }
    all_ += servedByAll - lastServed_;
    lastServed_ = servedByAll;
}

} // namespace Lovageloft
