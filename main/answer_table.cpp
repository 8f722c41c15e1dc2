#include "main/answer_table.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace Lovageloft
{

namespace
{

using Row = std::vector<std::string>;

std::string cellText(const Poco::Dynamic::Var &value)
{
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        return value.isEmpty() ? "-" : value.toString();
    }
    std::string text;
    for (const Poco::Dynamic::Var &item : *value.extract<Poco::JSON::Array::Ptr>()) {
        text += (text.empty() ? "" : ", ") + item.toString();
    }
    return text.empty() ? "-" : text;
}

Row fieldNames(const Poco::JSON::Object &object)
{
    Row names;
    object.getNames(names);
    return names;
}

void writeTable(std::ostream &out, const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const Row &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] + 2 - row[column].size(), ' ');
        }
        out << line.substr(0, line.find_last_not_of(' ') + 1) << '\n';
    }
}

bool isTable(const Poco::Dynamic::Var &value)
{
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        return false;
    }
    const auto &array = value.extract<Poco::JSON::Array::Ptr>();
    return array->size() > 0 && array->isObject(0);
}

void writeList(std::ostream &out, const Poco::JSON::Array &list)
{
    std::vector<Row> rows{fieldNames(*list.getObject(0))};
    for (unsigned i = 0; i < list.size(); ++i) {
        Row row;
        for (const std::string &name : rows.front()) {
            row.push_back(cellText(list.getObject(i)->get(name)));
        }
        rows.push_back(std::move(row));
    }
    writeTable(out, rows);
}

} // namespace

std::string formatAnswer(std::string_view json)
{
    Poco::JSON::Object::Ptr object;
    try {
        Poco::JSON::Parser parser(new Poco::JSON::ParseHandler(true));
        object = parser.parse(std::string(json)).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        return std::string(json);
    }
    std::ostringstream out;
    std::vector<Row> fields;
    for (const std::string &name : fieldNames(*object)) {
        if (!isTable(object->get(name))) {
            fields.push_back({name, cellText(object->get(name))});
        }
    }
    if (!fields.empty()) {
        writeTable(out, fields);
    }
    for (const std::string &name : fieldNames(*object)) {
        if (isTable(object->get(name))) {
            writeList(out, *object->getArray(name));
        }
    }
    return out.str();
}

} // namespace Lovageloft
