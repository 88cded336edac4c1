// Values that another writer may put into the store, for property tests of decoders.

#pragma once

#include <string>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace ramphinge {

// JSON texts, some of which are no JSON, no UTF-8, or beyond what a decoder's types can hold.
inline std::string drawForeignJson()
{
    constexpr std::size_t deep = 20'000;
    constexpr std::size_t large = 100'000;
    return *rc::gen::element<std::string>(
        "1e999", "-1e999", "1e308", "-1e308", "1e-999", std::string(400, '9'),
        "18446744073709551615", "9223372036854775807", "-9223372036854775808", "-1", "0", "0.5",
        "null", "true", "\"\"", "\"\xff\xfe\"", "\"\xed\xa0\x80\"", "\"a\\u0000b\"", "\"\\ud800\"",
        "\"" + std::string(large, 'x') + "\"", "[]", "{}", "[[]]", "[null]", R"({"":{"":[]}})",
        std::string(deep, '[') + std::string(deep, ']'), "[1e999]", "[1,2", "\xff", "");
}

// A value like `valid` with some bytes changed; if `valid` is a JSON object, also with a field
// replaced or added twice; or a value of any other form.
inline std::string drawForeignValue(const std::string &valid)
{
    std::string text = valid;
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return drawForeignJson();
    case 1:
        return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    case 2:
        for (int edits = *rc::gen::inRange(1, 5); edits > 0 && !text.empty(); --edits) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text.replace(at, *rc::gen::inRange<std::size_t>(0, 4),
                         *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        }
        return text;
    default:
        break;
    }
    nlohmann::json document = nlohmann::json::parse(valid, nullptr, false);
    if (!document.is_structured() || document.empty())
        return text + drawForeignJson();
    const nlohmann::json flat = document.flatten();
    auto field = flat.begin();
    std::advance(field,
                 *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(flat.size())));
    nlohmann::json::json_pointer place(field.key());
    for (int up = *rc::gen::inRange(0, 2); up > 0 && place.parent_pointer() != place; --up)
        place = place.parent_pointer(); // Also replaces whole arrays and objects.
    const std::string mark = "REPLACED-FIELD";
    document[place] = mark;
    text = document.dump();
    const std::string foreign = drawForeignJson();
    text.replace(text.find('"' + mark + '"'), mark.size() + 2, foreign);
    if (*rc::gen::arbitrary<bool>() && valid.back() == '}') { // The field twice.
        const std::string name = place.empty() ? std::string("x") : place.back();
        text = valid.substr(0, valid.size() - 1) + ",\"" + name + "\":" + foreign + "}";
    }
    return text;
}

} // namespace ramphinge
