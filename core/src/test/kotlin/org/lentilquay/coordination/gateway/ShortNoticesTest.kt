package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.lentilquay.state.ServerId

private val SERVER = ServerId("i-1")

private fun row(remainingMillis: Long? = 5_000, isDraining: Boolean = true, startedAt: Long? = 1) =
    mapOf(
        SERVER to server("i-1", isDraining = isDraining)
            .copy(remainingMillis = remainingMillis, startedAtEpochMillis = startedAt),
    )

/** Guards against an end that moves when a registration is read again, and one that outlives its process. */
class ShortNoticesTest : FunSpec({
    test("the end counts from the first reading, less the age that the row may have") {
        val notices = ShortNotices()
        notices.serversChanged(row(), now = 1_000) shouldBe mapOf(SERVER to Departure(1, 5_200))
        notices.serversChanged(row(), now = 3_000) shouldBe mapOf(SERVER to Departure(1, 5_200))
        notices.serversChanged(row(remainingMillis = null), now = 3_500) shouldBe mapOf(SERVER to Departure(1, 5_200))
    }

    test("a row that names less time moves the end forward") {
        val notices = ShortNotices()
        notices.serversChanged(row(), now = 1_000)
        notices.serversChanged(row(remainingMillis = 1_000), now = 2_000) shouldBe mapOf(SERVER to Departure(1, 2_200))
        notices.serversChanged(row(remainingMillis = 0), now = 2_100) shouldBe mapOf(SERVER to Departure(1, 2_100))
    }

    test("servers that name no time and servers that are ready have no end") {
        ShortNotices().serversChanged(row(remainingMillis = null), now = 0).shouldBeEmpty()
        ShortNotices().serversChanged(row(isDraining = false), now = 0).shouldBeEmpty()
    }

    test("another process of the server, or one that is ready again, clears the end") {
        val notices = ShortNotices()
        notices.serversChanged(row(), now = 0)
        notices.serversChanged(row(remainingMillis = null, startedAt = 2), now = 10).shouldBeEmpty()
        notices.serversChanged(row(startedAt = 2), now = 20) shouldBe mapOf(SERVER to Departure(2, 4_220))
        notices.serversChanged(row(isDraining = false, startedAt = 2), now = 30).shouldBeEmpty()
    }

    // A copy of the table may lack the row, and the server writes it again with the time of its first notice.
    test("a row that was missing for a while does not move the end") {
        val notices = ShortNotices()
        notices.serversChanged(row(), now = 0)
        notices.serversChanged(emptyMap(), now = 2_000) shouldBe mapOf(SERVER to Departure(1, 4_200))
        notices.serversChanged(row(), now = 3_000) shouldBe mapOf(SERVER to Departure(1, 4_200))
        notices.serversChanged(emptyMap(), now = 65_000).shouldBeEmpty()
    }
})
