/** Answers of the platform's services with items of other writers. */
#include "net/platformformat.h"

#include <doctest/doctest.h>

#include <string>

using namespace jackdawdoor;

TEST_CASE("an item that cannot be read does not hide the other records of a page, nor the other instances of a list")
{
    for (const std::string item : {"7", "{}", R"({"offset":"x","age_ms":1,"data":"b"})", R"({"offset":4,"age_ms":1,"data":{}})"}) {
        CAPTURE(item);
        const auto page = net::parseLogPage(R"({"first_retained":3,"next_offset":6,"retention_ms":1,"records":[)" + item
                                                + R"(,{"offset":5,"age_ms":2,"data":"a"}]})",
                                            "log");
        REQUIRE(page.has_value());
        REQUIRE(page.value().entries.size() == 1);
        CHECK(page.value().nextOffset == 6);
    }
    for (const std::string item : {"7", "{}", R"({"id":7,"address":"127.0.0.1:1","data_centre":"a","state":"live"})"}) {
        CAPTURE(item);
        const auto list = net::parseInstanceList(
            R"({"instances":[)" + item + R"(,{"id":"i","address":"127.0.0.1:1","data_centre":"a","state":"live"}]})", "list");
        REQUIRE(list.has_value());
        REQUIRE(list.value().size() == 1);
        CHECK(list.value().front().id.value == "i");
    }
}
