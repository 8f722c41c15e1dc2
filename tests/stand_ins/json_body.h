#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

namespace Lovageloft::StandIns
{

/// A JSON object that a test sent to a stand-in. Fields that are missing or of another type read as a default;
/// a body that is no object reads as an empty object.
class JsonBody
{
public:
    explicit JsonBody(const std::string &text);
    explicit JsonBody(Poco::JSON::Object::Ptr object);

    std::string text(const std::string &name) const;
    bool flag(const std::string &name) const;
    double real(const std::string &name) const;

    /// An integer, which may be written as a string.
    std::int64_t number(const std::string &name, std::int64_t fallback = 0) const;
    std::optional<std::int64_t> optionalNumber(const std::string &name) const;

    /// A nested object; empty if there is none.
    JsonBody object(const std::string &name) const;

    bool has(const std::string &name) const;

    /// The objects of an array; other elements are left out.
    std::vector<JsonBody> objects(const std::string &name) const;

private:
    template <typename T>
    std::optional<T> read(const std::string &name) const;

    Poco::JSON::Object::Ptr object_;
};

} // namespace Lovageloft::StandIns
