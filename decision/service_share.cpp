#include "decision/service_share.h"

namespace Lovageloft
{

void ServiceShare::begin(double served, std::uint64_t epoch)
{
    // After a gap longer than what was measured, the competing load is likely to be a different one.
    if (epoch != epoch_ || served - lastServed_ > observedTokens_) {
        creditedTokens_ = 0;
        observedTokens_ = 0;
    }
    epoch_ = epoch;
    lastServed_ = served;
    isActive_ = true;
}

void ServiceShare::onCredited(std::int64_t tokens)
{
    creditedTokens_ += isActive_ ? static_cast<double>(tokens) : 0;
}

void ServiceShare::end(double served)
{
    advance(served);
    isActive_ = false;
}

bool ServiceShare::isActive() const
{
    return isActive_;
}

double ServiceShare::share(double prior, double priorTokens, double served, double decayTokens)
{
    advance(served);
    if (observedTokens_ > decayTokens) {
        creditedTokens_ *= decayTokens / observedTokens_;
        observedTokens_ = decayTokens;
    }
    return (creditedTokens_ + prior * priorTokens) / (observedTokens_ + priorTokens);
}

void ServiceShare::advance(double served)
{
    if (!isActive_) {
        return;
    }
    observedTokens_ += served - lastServed_;
    lastServed_ = served;
}

} // namespace Lovageloft
