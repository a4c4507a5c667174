package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.RegisteredServer

private class Servers(vararg known: RegisteredServer) {
    val merge = ServerMerge()
    val state get() = merge.merged.keys.map { it.text }.sorted()

    init {
        read(3, 0, *known)
    }

    fun read(era: Long?, at: Long, vararg servers: RegisteredServer, written: Set<String> = emptySet()) =
        merge.observed(servers.associateBy { it.id }, era, written.mapTo(HashSet()) { ServerId(it) }, at)

    fun isDraining(id: String) = merge.merged.getValue(ServerId(id)).isDraining
}

/** Guards against requests to servers that a copy of the table shows as ready, and against losing new servers. */
class ServerMergeTest : FunSpec({
    test("a server that was known as leaving stays so until its row is written again") {
        Servers(server("a", isDraining = true), server("b", isDraining = true)).run {
            read(4, 100, server("a"), server("b"))
            isDraining("a") shouldBe true
            read(4, 200, server("a"), server("b"), written = setOf("a"))
            isDraining("a") shouldBe false
            isDraining("b") shouldBe true
            merge.expire(30_099) shouldBe emptySet()
            merge.expire(30_100) shouldBe setOf(ServerId("b"))
            isDraining("b") shouldBe false
        }
    }

    test("another process with the id of a leaving server is not leaving") {
        Servers(server("a", isDraining = true)).run {
            read(4, 100, server("a").copy(startedAtEpochMillis = 2))
            isDraining("a") shouldBe false
        }
    }

    test("a server that the copy lacks is kept for 4 s, or until it registers again") {
        Servers(server("a"), server("b")).run {
            read(4, 100)
            state shouldBe listOf("a", "b")
            read(4, 2_000, server("b", isDraining = true), written = setOf("b"))
            isDraining("b") shouldBe true
            merge.expire(4_099) shouldBe emptySet()
            merge.expire(4_100) shouldBe setOf(ServerId("a"))
            state shouldBe listOf("b")
        }
    }

    test("a server that was gone for less than 60 s stays gone, until it registers again or for 30 s") {
        listOf(59_000L to listOf("c"), 61_000L to listOf("a", "b", "c")).forEach { (age, expected) ->
            Servers(server("a"), server("b"), server("c")).run {
                read(3, 1_000, server("c"))
                read(4, 1_000 + age, server("a"), server("b"), server("c"))
                state shouldBe expected
                read(4, 1_100 + age, server("a"), server("b"), server("c"), written = setOf("a"))
                state shouldBe (expected + "a").distinct().sorted()
                merge.expire(31_000 + age)
                state shouldBe listOf("a", "b", "c")
            }
        }
    }

    test("a server stays gone over a second return 1 s after the first, and a missing one is kept again") {
        Servers(server("a"), server("b")).run {
            read(3, 1_000, server("b"))
            read(4, 58_000, server("a"))
            read(5, 62_000, server("a"))
            state shouldBe listOf("b")
            merge.expire(65_999) shouldBe emptySet()
            merge.expire(66_000) shouldBe setOf(ServerId("b"))
            state shouldBe emptyList()
        }
    }

    test("without eras, the servers are those of the table") {
        val merge = ServerMerge()
        fun read(vararg servers: RegisteredServer) =
            merge.observed(servers.associateBy { it.id }, null, emptySet(), 0)
        read(server("a"), server("b", isDraining = true))
        read(server("b"))
        merge.merged shouldBe mapOf(ServerId("b") to server("b"))
        merge.expire(100_000) shouldBe emptySet()
    }
})
