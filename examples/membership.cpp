#include <iostream>
#include <map>

#include "coordination/membership.h"

using namespace Lovageloft;

/// Three hosts in simulated time; one stops and the others detect it.
int main()
{
    Random random(1);
    std::map<std::string, Membership> hosts;
    std::vector<PlatformHost> platform;
    for (const char *name : {"a", "b", "c"}) {
        platform.push_back({name, name, false}); // Any text serves as an address here.
        hosts.emplace(name, Membership(name, name, 1));
    }
    for (auto &[name, host] : hosts) {
        host.setPlatformHosts(platform);
    }
    constexpr int stopsAt = 50;
    for (int tick = 0; tick < 300; ++tick) {
        const TimePoint now(std::chrono::milliseconds(100 * tick));
        for (auto &[name, host] : hosts) {
            std::vector<MembershipMessage> messages;
            if (name != "c" || tick < stopsAt) {
                messages = host.tick(now, random);
            }
            while (!messages.empty()) {
                const MembershipMessage message = std::move(messages.back());
                messages.pop_back();
                if (message.toAddress == "c" && tick >= stopsAt) {
                    continue;
                }
                const auto answers = hosts.at(message.toAddress).onMessage(message, now);
                messages.insert(messages.end(), answers.begin(), answers.end());
            }
        }
    }
    std::cout << "a has " << hosts.at("a").liveMembers().size() << " live member(s)\n";
    return 0;
}
