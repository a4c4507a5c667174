package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import org.lentilquay.state.gateway.WeightedService
import kotlin.random.Random

/** Guards against requests that reach the service of another route. */
class RouteTableTest : FunSpec({
    val table = RouteTable(listOf(route("one", "/a/"), route("one", "/a/b/"), route("one", "/"), route("two", "/c/")))

    data class Case(val host: String, val path: String, val prefix: String?)

    listOf(
        Case("one", "/a/x", "/a/"),
        Case("one", "/a/b/x", "/a/b/"),
        Case("one", "/a/b", "/a/"),
        Case("one", "/a/bc/x", "/a/"),
        Case("one", "/ab/x", "/"),
        Case("ONE:80", "/a/b/", "/a/b/"),
        Case("two", "/c/x/y", "/c/"),
        Case("two", "/a/x", null),
        Case("two", "/c", null),
        Case("three", "/a/x", null),
    ).forEach { case ->
        test("${case.host}${case.path} matches prefix ${case.prefix}") {
            table.match(case.host, case.path)?.pathPrefix shouldBe case.prefix
        }
    }

    test("services are picked in proportion to their weights, and never with weight 0") {
        val split = listOf(WeightedService("x", 90), WeightedService("y", 10), WeightedService("z", 0))
        val random = Random(1)
        val picked = List(10_000) { route("one", "/", services = split).pickService(random).service }.groupingBy { it }
            .eachCount()
        picked.keys shouldBe setOf("x", "y")
        picked.getValue("x") / 10_000.0 shouldBe (0.9 plusOrMinus 0.02)
    }
})
