#include "decision/service_share.h"

namespace Lovageloft
{

void ServiceShare::begin(double served, std::uint64_t epoch)
{
    // What competes with a lane is another matter after a gap longer than the time it was watched.
    if (epoch != epoch_ || served - last_ > all_) {
        earned_ = 0;
        all_ = 0;
    }
    epoch_ = epoch;
    last_ = served;
    isActive_ = true;
}

void ServiceShare::onEarned(std::int64_t tokens)
{
    earned_ += isActive_ ? static_cast<double>(tokens) : 0;
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

double ServiceShare::share(double expected, double tokens, double served, double memory)
{
    advance(served);
    if (all_ > memory) {
        earned_ *= memory / all_;
        all_ = memory;
    }
    return (earned_ + expected * tokens) / (all_ + tokens);
}

void ServiceShare::advance(double served)
{
    if (!isActive_) {
        return;
    }
    all_ += served - last_;
    last_ = served;
}

} // namespace Lovageloft
