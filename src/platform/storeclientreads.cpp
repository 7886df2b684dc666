// StoreClient: reads of a topic, page by page.
#include "platform/storeclient.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawdoor::platform {

using detail::storeError;

namespace {

constexpr int gone = 410;

} // namespace

/** A read of the newest record of each key, page by page. */
struct StoreClient::NewestRead {
    const char *topic = nullptr;
    Continuation<NewestPage> done;
    NewestPage collected;
    std::optional<std::string> after; ///< last key of the previous page
    std::size_t pages = 0; ///< read so far

    Error error(const std::string &reason) const
    {
        return storeError("log-newest", reason + ", topic " + topic + ", page " + std::to_string(pages + 1));
    }
};

void StoreClient::readNewest(const char *topic, const Continuation<NewestPage> &done)
{
    const auto read = std::make_shared<NewestRead>();
    read->topic = topic;
    read->done = done;
    readNextPage(read);
}

void StoreClient::readNextPage(const std::shared_ptr<NewestRead> &read)
{
    std::string target = std::string("/v1/log-newest?topic=") + read->topic + "&part=0";
    if (read->after) {
        target += "&after=" + net::encodeQueryValue(*read->after);
    }
    call("log-newest", "GET", target, {}, detail::callTimeout, [this, read](const Result<Answer> &answer) {
        if (answer.has_value()) {
            onPage(read, answer.value());
        } else {
            read->done(read->error(answer.error().reason));
        }
    });
}

void StoreClient::onPage(const std::shared_ptr<NewestRead> &read, const Answer &answer)
{
    auto page = answer.status == detail::ok ? decodeNewest(answer.body) : std::nullopt;
    if (!page) {
        read->done(read->error(answer.status == detail::ok ? "the page cannot be decoded" : detail::statusText(answer.status)));
        return;
    }
    page->next.history = answer.history;
    NewestPage &collected = read->collected;
    if (read->pages == 0) {
        collected.next = page->next;
    } else if (collected.next.history != page->next.history) {
        read->done(read->error("the store was restored between two pages"));
        return;
    }
    ++read->pages;
    // The pages are not one snapshot, so later reads start at the lowest of their end offsets.
    collected.next.offset = std::min(collected.next.offset, page->next.offset);
    collected.unreadable += page->unreadable;
    const std::optional<std::string> last = page->records.empty() ? std::nullopt : std::optional(page->records.back().key);
    std::move(page->records.begin(), page->records.end(), std::back_inserter(collected.records));
    if (!page->hasMore) {
        read->done(std::move(collected));
    } else if (!last || last == read->after) {
        // Neither the rest of the list is known, nor can it be asked for.
        read->done(read->error("the page does not lead to the next one"));
    } else {
        read->after = last;
        readNextPage(read);
    }
}

void StoreClient::readChanges(const char *topic, const fleet::StorePosition &from, Duration wait, const Continuation<LogRecords> &done)
{
    const auto collected = std::make_shared<LogRecords>();
    collected->next = from;
    readNextChanges(topic, collected, wait, done);
}

void StoreClient::readNextChanges(const char *topic,
                                  const std::shared_ptr<LogRecords> &collected,
                                  Duration wait,
                                  const Continuation<LogRecords> &done)
{
    const auto waitMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string target = std::string("/v1/log-read?topic=") + topic + "&part=0&from=" + std::to_string(collected->next.offset)
                               + "&wait-ms=" + std::to_string(waitMilliseconds);
    call("log-read", "GET", target, {}, detail::callTimeout + wait, [this, topic, collected, done](const Result<Answer> &answer) {
        if (answer.has_value()) {
            onChanges(topic, collected, answer.value(), done);
        } else if (collected->records.empty()) {
            done(answer.error());
        } else {
            done(std::move(*collected)); // the next read goes on behind these
        }
    });
}

/** Reads on until the end of the log, since large records of other writers can fill an answer. */
void StoreClient::onChanges(const char *topic,
                            const std::shared_ptr<LogRecords> &collected,
                            const Answer &answer,
                            const Continuation<LogRecords> &done)
{
    const fleet::StorePosition from = collected->next;
    auto records = answer.status == detail::ok ? decodeRecords(answer.body, from) : std::nullopt;
    const bool first = collected->records.empty();
    if (!records && first) {
        done(storeError("log-read", answer.status == gone ? detail::goneReason : detail::statusText(answer.status)));
        return;
    }
    if (records && answer.history) {
        records->next.history = answer.history;
    }
    const bool follows = records && (first || records->next.history == from.history);
    if (follows) {
        std::move(records->records.begin(), records->records.end(), std::back_inserter(collected->records));
        collected->next = records->next;
        if (from.offset < records->next.offset && records->next.offset < records->end) {
            readNextChanges(topic, collected, Duration::zero(), done);
            return;
        }
    }
    done(std::move(*collected));
}

} // namespace jackdawdoor::platform
