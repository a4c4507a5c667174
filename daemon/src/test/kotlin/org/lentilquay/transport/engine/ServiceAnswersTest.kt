package org.lentilquay.transport.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.standins.ServiceOptions
import org.lentilquay.standins.plainService
import org.lentilquay.transport.http.BodyReadResult

/** Guards against responses that are lost because the server closes the connection before it has sent them. */
class ServiceAnswersTest : FunSpec({
    test("each of 200 consecutive calls gets a complete response") {
        plainService(ServiceOptions(workMillis = 1)).use { service ->
            ServiceClient().use { client ->
                val lost = (1..200).count { number ->
                    val body = "{\"reference\":\"booking-$number\"}".encodeToByteArray()
                    val call = ServiceCall("POST", "/deposits", listOf("Content-Type" to "application/json"), body)
                    val answer = client.forward("127.0.0.1:${service.port}", call)
                    val whole = (answer as? ServiceCallResult.Answered)?.body?.use { it.readFully(10_000) }
                    whole !is BodyReadResult.Complete
                }
                lost shouldBe 0
            }
        }
    }
})
