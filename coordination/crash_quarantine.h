#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/request_fingerprint.h"
#include "core/clock.h"

namespace Lovageloft
{

/// A target ended, or broke off, before it had begun to answer a request.
struct CrashReport
{
    RequestFingerprint request{};
    std::uint64_t target = 0; ///< Digest of the target's name and start.
};

/// Keeps a request that ends the targets that run it from ending a whole fleet of them.
///
/// The load it is made for: a request that crashes each engine that begins to run it, and that comes again at any host. No host sees enough
/// of its tries to tell, so each tells the request's homes of a target that it lost with it; a home that has heard of `maxCrashes`
/// different targets puts the request into quarantine and tells all hosts. Requests that were answered once, such as those that happened to
/// run beside it, are not held against. Bounded in entries; the oldest go first.
class CrashQuarantine
{
public:
    /// Different targets that a request may end before it is refused.
    static constexpr std::size_t maxCrashes = 3;

    /// This host has had an answer to the request, or the begin of one.
    void noteAnswered(RequestFingerprint request);

    /// Whether the loss of a target with this request is to be told to its homes.
    bool isSuspect(RequestFingerprint request) const;

    /// A home's part: whether the request has now ended as many targets as it may.
    bool countCrash(const CrashReport &report, TimePoint now);

    /// Puts a request into quarantine; false if it was there or is known to do no harm.
    bool add(RequestFingerprint request, TimePoint now);

    bool contains(RequestFingerprint request, TimePoint now) const;

    /// Requests in quarantine.
    std::size_t size(TimePoint now) const;

private:
    struct Suspect
    {
        std::array<std::uint64_t, maxCrashes> targets{};
        std::size_t crashes = 0;
        TimePoint lastAt;
    };

    void forgetOld(TimePoint now);

    static constexpr std::size_t answeredSlots = 8'192;

    std::vector<RequestFingerprint> answered_ = std::vector<RequestFingerprint>(answeredSlots); ///< By the lower bits; newer ones replace older ones.
    std::unordered_map<RequestFingerprint, Suspect> suspects_;
    std::deque<RequestFingerprint> suspectOrder_; ///< In the order of their first crash.
    std::unordered_map<RequestFingerprint, TimePoint> quarantined_; ///< Until when.
    std::deque<RequestFingerprint> quarantineOrder_;
};

} // namespace Lovageloft
