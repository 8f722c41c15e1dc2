#include "gateway/operator_view.h"

#include <array>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int ok = 200;
constexpr int notFound = 404;

Object::Ptr makeObject()
{
    return new Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

std::string toText(const Object &object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

std::string makeTable(const char *name, const Array::Ptr &rows)
{
    Object::Ptr answer = makeObject();
    answer->set(name, rows);
    return toText(*answer);
}

} // namespace

OperatorView::OperatorView(const Gateway &gateway)
    : gateway_(gateway)
{
}

StatusAnswer OperatorView::answer(std::string_view path) const
{
    struct Page
    {
        std::string_view path;
        std::string (OperatorView::*answer)() const;
    };

    static constexpr auto pages = std::to_array<Page>({
        {"/operator/status", &OperatorView::status},
        {"/operator/teams", &OperatorView::teams},
        {"/operator/targets", &OperatorView::targets},
        {"/operator/hosts", &OperatorView::hosts},
        {"/operator/leader", &OperatorView::leader},
        {"/operator/rollouts", &OperatorView::rollouts},
    });
    for (const Page &page : pages) {
        if (page.path == path) {
            return {ok, (this->*page.answer)(), "application/json"};
        }
    }
    return {notFound, "not found\n"};
}

std::string OperatorView::status() const
{
    const TimePoint now = BootClock::now();
    const auto table = gateway_.table();
    Object::Ptr status = makeObject();
    status->set("host", gateway_.hostName());
    status->set("phase", gateway_.isDraining() ? "draining" : "serving");
    status->set("ready", gateway_.isReady(now));
    status->set("version", table != nullptr ? table->version : std::int64_t{0});
    status->set("proof_age_ms", toMillis(gateway_.proofAge(now)));
    status->set("running", gateway_.dispatch().runningCount());
    status->set("waiting", gateway_.dispatch().waitingCount());
    status->set("teams", table != nullptr ? table->teams.size() : std::size_t{0});
    status->set("targets", gateway_.targets().all().size());
    status->set("links_lost", gateway_.paths().links().lostCount());
    status->set("relayed_connections", gateway_.relayServer().count());
    status->set("targets_stating", gateway_.statements().table().inForce().size());
    status->set("streams_known", gateway_.streams().origins().size());
    status->set("hosts", gateway_.hosts().size());
    status->set("share", gateway_.share());
    status->set("leader", gateway_.leader());
    return toText(*status);
}

std::string OperatorView::teams() const
{
    Array::Ptr rows = new Array;
    const auto table = gateway_.table();
    for (const Team &team : table != nullptr ? table->teams : std::vector<Team>{}) {
        Object::Ptr row = makeObject();
        row->set("team", team.name);
        row->set("rate", team.rate);
        row->set("burst", team.burst);
        row->set("isolated", team.isIsolated);
        rows->add(row);
    }
    return makeTable("teams", rows);
}

std::string OperatorView::targets() const
{
    Array::Ptr rows = new Array;
    for (const auto &[id, target] : gateway_.targets().all()) {
        if (target.models.empty()) {
            rows->add(targetRow(target, {}));
        }
        for (const ServedModel &model : target.models) {
            rows->add(targetRow(target, model.name));
        }
    }
    return makeTable("targets", rows);
}

Object::Ptr OperatorView::targetRow(const Target &target, const std::string &model) const
{
    const TimePoint now = BootClock::now();
    const std::string &id = target.id;
    Object::Ptr row = makeObject();
    row->set("target", id);
    row->set("service", target.service);
    row->set("model", model);
    row->set("weights", gateway_.targets().weightsVersionOf(target, model));
    row->set("software", target.softwareVersion);
    row->set("withheld", gateway_.targets().isWithheld(id));
    row->set("address", hostAddressText(target.address));
    row->set("data_centre", target.dataCentre);
    const auto restUntil = gateway_.targets().restUntil(target, now);
    row->set("state", target.isLeaving ? "leaving" : (restUntil ? "resting" : "serving"));
    if (restUntil) {
        row->set("rest_left_ms", toMillis(*restUntil - now));
    }
    if (const LeaveTable::Leave *leave = gateway_.statements().leaves().find(id); target.isLeaving && leave != nullptr) {
        row->set("leaving_heard_by", leave->heardBy);
        row->set("leaving_age_ms", toMillis(now - leave->saidAt));
    }
    for (const StatementKind kind : limitKinds) {
        if (const TargetStatement *stated = gateway_.statements().table().find(id, kind)) {
            row->set(std::string(statementKindName(kind)), stated->value);
            row->set(std::string(statementKindName(kind)) + "_age_ms", toMillis(now - stated->statedAt));
        }
    }
    return row;
}

std::string OperatorView::hosts() const
{
    Array::Ptr rows = new Array;
    for (const auto &[name, record] : gateway_.hosts()) {
        Object::Ptr row = makeObject();
        row->set("host", name);
        row->set("peer_address", hostAddressText(record.address));
        row->set("data_centre", record.dataCentre);
        rows->add(row);
    }
    return makeTable("hosts", rows);
}

std::string OperatorView::rollouts() const
{
    Array::Ptr rows = new Array;
    for (const Rollouts::Status &status : gateway_.rollouts().status()) {
        Object::Ptr row = makeObject();
        row->set("service", std::string(status.service));
        row->set("version", std::string(status.version));
        row->set("phase", std::string(status.phase));
        row->set("stage", status.stage);
        row->set("position", status.position);
        row->set("exposed", status.exposed);
        rows->add(row);
    }
    return makeTable("rollouts", rows);
}

std::string OperatorView::leader() const
{
    Object::Ptr answer = makeObject();
    answer->set("leader", gateway_.leader());
    answer->set("told_by", gateway_.hostName());
    return toText(*answer);
}

} // namespace Lovageloft
