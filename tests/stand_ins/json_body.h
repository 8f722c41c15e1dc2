#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

namespace Lovageloft::StandIns
{

/// A JSON object sent to a stand-in by a test. Fields that aren't there, or of another type, read as a default;
/// a body that isn't an object reads as an empty one.
class JsonBody
{
public:
    explicit JsonBody(const std::string &text);
    explicit JsonBody(Poco::JSON::Object::Ptr object);

    std::string text(const std::string &name) const;
    bool flag(const std::string &name) const;
    double real(const std::string &name) const;

    /// A whole number, also one written as a string.
    std::int64_t number(const std::string &name, std::int64_t otherwise = 0) const;
    std::optional<std::int64_t> optionalNumber(const std::string &name) const;

    /// An object inside, empty if it isn't there.
    JsonBody object(const std::string &name) const;

    bool has(const std::string &name) const;

    /// Objects of an array.
    std::vector<JsonBody> objects(const std::string &name) const;

private:
    template <typename T>
    std::optional<T> read(const std::string &name) const;

    Poco::JSON::Object::Ptr object_;
};

} // namespace Lovageloft::StandIns
