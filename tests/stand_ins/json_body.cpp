#include "tests/stand_ins/json_body.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

namespace Lovageloft::StandIns
{

namespace
{

Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    try {
        return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        return new Poco::JSON::Object;
    }
}

} // namespace

JsonBody::JsonBody(const std::string &text)
    : object_(parseObject(text))
{
}

JsonBody::JsonBody(Poco::JSON::Object::Ptr object)
    : object_(std::move(object))
{
}

std::string JsonBody::text(const std::string &name) const
{
    return read<std::string>(name).value_or("");
}

bool JsonBody::flag(const std::string &name) const
{
    return read<bool>(name).value_or(false);
}

double JsonBody::real(const std::string &name) const
{
    return read<double>(name).value_or(0);
}

std::int64_t JsonBody::number(const std::string &name, std::int64_t fallback) const
{
    return optionalNumber(name).value_or(fallback);
}

std::optional<std::int64_t> JsonBody::optionalNumber(const std::string &name) const
{
    return read<Poco::Int64>(name);
}

JsonBody JsonBody::object(const std::string &name) const
{
    const Poco::JSON::Object::Ptr inner = object_->getObject(name);
    return JsonBody(inner ? inner : Poco::JSON::Object::Ptr(new Poco::JSON::Object));
}

bool JsonBody::has(const std::string &name) const
{
    return object_->has(name);
}

std::vector<JsonBody> JsonBody::objects(const std::string &name) const
{
    std::vector<JsonBody> items;
    const Poco::JSON::Array::Ptr array = object_->getArray(name);
    for (unsigned i = 0; array && i < array->size(); ++i) {
        const Poco::JSON::Object::Ptr item = array->getObject(i);
        items.emplace_back(item ? item : Poco::JSON::Object::Ptr(new Poco::JSON::Object));
    }
    return items;
}

template <typename T>
std::optional<T> JsonBody::read(const std::string &name) const
{
    try {
        return object_->has(name) ? std::optional<T>(object_->get(name).convert<T>()) : std::nullopt;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace Lovageloft::StandIns
