#include "gateway/relayed_store.h"

#include <algorithm>
#include <utility>

/// What hosts ask each other, in place of the store: changes that they have missed, and proofs of the newest revision.
namespace Lovageloft
{

namespace
{

/// Timeout of a proof request; hosts of one region answer within 3 ms.
constexpr Duration proofTimeout = std::chrono::milliseconds(60);

/// Unanswered requests are removed after this time.
constexpr Duration pendingRequestTimeout = std::chrono::seconds(2);

} // namespace

void RelayedStore::onChangesReply(const ChangesReply &reply)
{
    const std::lock_guard lock(mutex_);
    const auto pendingRequest = pendingChangesRequests_.find(reply.id);
    if (pendingRequest == pendingChangesRequests_.end()) {
        return;
    }
    const auto found = prefixes_.find(pendingRequest->second.prefix);
    const bool isFollowed = found != prefixes_.end() && found->second.syncedRevision != 0 && found->first == reply.changes.prefix;
    if (!isFollowed || reply.changes.after != found->second.syncedRevision) {
        return;
    }
    PrefixState &state = found->second;
    const TimePoint now = now_();
    state.applyNotice(reply.changes, now);
    if (!isRankedHost()) {
        state.lastHeardAt = std::max(state.lastHeardAt, pendingRequest->second.sentAt - reply.age);
    }
    updateBehindState(found->first, state, now);
    updateArrived_.notify_all();
}

std::optional<ChangesReply> RelayedStore::changesFor(const ChangesRequest &request) const
{
    const std::lock_guard lock(mutex_);
    const auto found = prefixes_.find(request.prefix);
    if (found == prefixes_.end() || found->second.syncedRevision == 0 || found->second.syncedRevision < request.after) {
        return std::nullopt;
    }
    const PrefixState &state = found->second;
    auto entries = state.log.since(request.after);
    if (!entries) {
        return std::nullopt;
    }
    const TimePoint now = now_();
    const Duration age = std::max(Duration::zero(), now - std::max(confirmedAt(state), lastUpdateAt(state)));
    const Duration returnAge = now - state.pendingReturnedAt.value_or(now);
    return ChangesReply{
        request.id, {request.prefix, request.after, state.syncedRevision, std::move(*entries), {}, state.silence, request.after, state.outage, returnAge}, age};
}

/// Up to two hosts that may have newer changes: a random ranked host, as these call the store before others, and a random host.
std::vector<std::string> RelayedStore::hostsToQuery()
{
    std::vector<std::string> hosts;
    for (const std::vector<std::string> *group : {&rankedHosts_, &otherHosts_}) {
        if (group->empty()) {
            continue;
        }
        const std::string &host = (*group)[randomBelow(random_, group->size())];
        if (host != host_ && std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

void RelayedStore::queryChanges(std::string_view prefix, std::int64_t syncedRevision, std::unique_lock<std::mutex> &lock)
{
    const TimePoint now = now_();
    std::erase_if(pendingChangesRequests_, [now](const auto &pendingRequest) { return now - pendingRequest.second.sentAt > pendingRequestTimeout; });
    const std::uint64_t id = ++lastRequestId_;
    const std::vector<std::string> hosts = hostsToQuery();
    const auto send = network_.sendChangesRequest;
    if (!send || hosts.empty()) {
        return;
    }
    pendingChangesRequests_[id] = {std::string(prefix), now};
    lock.unlock();
    for (const std::string &host : hosts) {
        send(host, {id, std::string(prefix), syncedRevision});
    }
    lock.lock();
}

void RelayedStore::onProofReply(const ProofReply &reply)
{
    const std::lock_guard lock(mutex_);
    const auto pendingRequest = pendingProofRequests_.find(reply.id);
    if (pendingRequest != pendingProofRequests_.end()) {
        pendingRequest->second = reply;
        updateArrived_.notify_all();
    }
}

/// Hosts to request a proof from, in order: the relays, then a random ranked host and a random host. Empty on a relay, which calls the
/// store.
std::vector<std::string> RelayedStore::proofSources()
{
    if (isRelay()) {
        return {};
    }
    const std::lock_guard lock(mutex_);
    std::vector<std::string> hosts(relays().begin(), relays().end());
    // Each relay is the first choice of half of the hosts.
    if (hosts.size() > 1 && randomBelow(random_, 2) == 0) {
        std::swap(hosts.front(), hosts.back());
    }
    for (const std::string &host : hostsToQuery()) {
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::optional<ProofReply> RelayedStore::queryProof(const std::string &host)
{
    std::unique_lock lock(mutex_);
    const std::uint64_t id = ++lastRequestId_;
    pendingProofRequests_[id] = std::nullopt;
    const auto send = network_.sendProofRequest;
    lock.unlock();
    if (send) {
        send(host, {id});
    }
    lock.lock();
    updateArrived_.wait_for(lock, proofTimeout, [&] { return pendingProofRequests_.at(id).has_value(); });
    const auto reply = pendingProofRequests_.at(id);
    pendingProofRequests_.erase(id);
    return reply;
}

} // namespace Lovageloft
